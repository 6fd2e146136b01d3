package io.heatherloft.router.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into complete events and relays each event once, in order.
 *
 * <p>Invariant: the events relayed are complete and have ascending IDs, whichever attempts they came from. Confined to
 * one thread.
 */
final class EventRelay {
    private static final String ID_FIELD = "id:";
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final Consumer<ByteBuf> sink;
    private ByteBuf pending = Unpooled.buffer();
    private OptionalLong lastEventId;
    private long relayedCount;
    private boolean gapDetected;

    /**
     * Creates a relay.
     *
     * @param lastEventId ID of the last event that the caller has received
     * @param sink receives the complete events that follow and takes ownership of their buffers
     */
    EventRelay(OptionalLong lastEventId, Consumer<ByteBuf> sink) {
        this.lastEventId = lastEventId;
        this.sink = sink;
    }

    /** Processes the next bytes from the current attempt. */
    void accept(ByteBuf chunk) {
        pending.writeBytes(chunk);
        int end = findEventEnd(pending.readerIndex());
        while (end >= 0 && !gapDetected) {
            ByteBuf event = pending.readRetainedSlice(end - pending.readerIndex());
            relay(event);
            end = findEventEnd(pending.readerIndex());
        }
        releaseConsumedBytes();
    }

    /** Discards the incomplete event at the end of the data received so far. */
    void discardPartialEvent() {
        pending.skipBytes(pending.readableBytes());
        releaseConsumedBytes();
    }

    /** Returns true if the data received so far ends with an incomplete event. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Returns true if the incomplete event is too long to be an event of a stream. */
    boolean hasOversizedEvent() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns true if an event ID was skipped; nothing is relayed after a gap. */
    boolean hasGap() {
        return gapDetected;
    }

    /** Returns the ID of the last event that the caller has received. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns the number of events relayed. */
    long relayedCount() {
        return relayedCount;
    }

    private void relay(ByteBuf event) {
        OptionalLong id = parseId(event);
        if (id.isPresent() && lastEventId.isPresent()) {
            long step = id.getAsLong() - lastEventId.getAsLong();
            if (step <= 0) {
                event.release();
                return;
            }
            if (step > 1) {
                gapDetected = true;
                event.release();
                return;
            }
        }
        lastEventId = id.isPresent() ? id : lastEventId;
        relayedCount++;
        sink.accept(event);
    }

    private int findEventEnd(int fromIndex) {
        int lineStart = fromIndex;
        int lineFeed = pending.indexOf(fromIndex, pending.writerIndex(), LINE_FEED);
        while (lineFeed >= 0) {
            int length = lineFeed - lineStart;
            boolean blank = length == 0 || (length == 1 && pending.getByte(lineStart) == CARRIAGE_RETURN);
            if (blank) {
                return lineFeed + 1;
            }
            lineStart = lineFeed + 1;
            lineFeed = pending.indexOf(lineStart, pending.writerIndex(), LINE_FEED);
        }
        return -1;
    }

    private static OptionalLong parseId(ByteBuf event) {
        return event.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).trim())
                .filter(text -> text.length() < Long.toString(Long.MAX_VALUE).length()
                        && !text.isEmpty()
                        && text.chars().allMatch(Character::isDigit))
                .mapToLong(Long::parseLong)
                .findFirst();
    }

    private void releaseConsumedBytes() {
        // The sink may still hold slices of the buffer, so it is replaced instead of compacted in place.
        ByteBuf rest = Unpooled.copiedBuffer(pending);
        pending.release();
        pending = Unpooled.buffer(Math.max(rest.readableBytes(), 1));
        pending.writeBytes(rest);
        rest.release();
    }
}
