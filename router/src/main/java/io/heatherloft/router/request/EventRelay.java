package io.heatherloft.router.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Cuts a stream into whole events and passes on each event once, in order.
 *
 * <p>Invariant: what has been passed on is a sequence of whole events with rising ids, whichever runs they came from.
 * Confined to one thread.
 */
final class EventRelay {
    private static final String ID_FIELD = "id:";
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private final Consumer<ByteBuf> sink;
    private ByteBuf pending = Unpooled.buffer();
    private OptionalLong lastEventId;
    private long relayedCount;
    private boolean gapDetected;

    /**
     * Creates a relay.
     *
     * @param lastId id of the last event that the caller has
     * @param sink takes over the whole events that follow
     */
    EventRelay(OptionalLong lastId, Consumer<ByteBuf> sink) {
        this.lastEventId = lastId;
        this.sink = sink;
    }

    /** Takes the next bytes of the present run. */
    void accept(ByteBuf part) {
        pending.writeBytes(part);
        int end = findEventEnd(pending.readerIndex());
        while (end >= 0 && !gapDetected) {
            ByteBuf event = pending.readRetainedSlice(end - pending.readerIndex());
            relay(event);
            end = findEventEnd(pending.readerIndex());
        }
        releaseConsumedBytes();
    }

    /** Forgets the part of an event that the present run left behind. */
    void discardPartialEvent() {
        pending.skipBytes(pending.readableBytes());
        releaseConsumedBytes();
    }

    /** Returns true if the present run has sent a part of an event only. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Returns true if an event was missing; nothing was passed on since. */
    boolean hasGap() {
        return gapDetected;
    }

    /** Returns the id of the last event that the caller has. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns the number of events passed on. */
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

    private int findEventEnd(int from) {
        int lineStart = from;
        int lineFeed = pending.indexOf(from, pending.writerIndex(), LINE_FEED);
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
        // Slices given to the sink may still be read, so the buffer is replaced, not moved.
        ByteBuf rest = Unpooled.copiedBuffer(pending);
        pending.release();
        pending = Unpooled.buffer(Math.max(rest.readableBytes(), 1));
        pending.writeBytes(rest);
        rest.release();
    }
}
