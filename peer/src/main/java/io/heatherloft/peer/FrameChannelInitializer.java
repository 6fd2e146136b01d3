package io.heatherloft.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.heatherloft.peer.generated.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Sets up a connection that carries length-prefixed {@link Frame} messages.
 *
 * <p>Invariant: a frame over the size limit, a malformed frame or a long silence closes the connection. Its methods run
 * on Netty's thread.
 */
final class FrameChannelInitializer extends ChannelInitializer<Channel> {
    private static final int MAX_FRAME_BYTES = 8_388_608;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    private final PeerTraffic traffic;
    private final BiConsumer<Channel, Frame> onFrame;
    private final Consumer<Channel> onClosed;

    FrameChannelInitializer(PeerTraffic traffic, BiConsumer<Channel, Frame> onFrame, Consumer<Channel> onClosed) {
        this.traffic = traffic;
        this.onFrame = onFrame;
        this.onClosed = onClosed;
    }

    static void send(Channel channel, PeerTraffic traffic, Frame frame) {
        byte[] bytes = frame.toByteArray();
        traffic.recordSent(bytes.length);
        ChannelFuture _written = channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
                .addLast(new FrameHandler());
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message)
                throws InvalidProtocolBufferException {
            traffic.recordReceived(message.readableBytes());
            onFrame.accept(context.channel(), Frame.parseFrom(message.nioBuffer()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onClosed.accept(context.channel());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                ChannelFuture _closing = context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            ChannelFuture _closing = context.close();
        }
    }
}
