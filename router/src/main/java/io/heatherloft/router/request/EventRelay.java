package io.heatherloft.router.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into complete events and relays each event once, in order.
 *
 * <p>Invariants: the events relayed are complete and have ascending IDs, whichever attempts they came from; each byte
 * received is scanned once, and copied a constant number of times on average, however small the pieces are in which it
 * comes. Confined to one thread.
 */
final class EventRelay {
    private static final String ID_FIELD = "id:";
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final Consumer<ByteBuf> sink;
    private ByteBuf pending = Unpooled.buffer();
    // Offsets from the reader index of the pending bytes.
    private int lineStart;
    private int scanned;
    private long processedBytes;
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
        int length = findEventLength();
        boolean relayed = length >= 0;
        while (length >= 0 && !gapDetected) {
            ByteBuf event = pending.readRetainedSlice(length);
            relay(event);
            length = findEventLength();
        }
        if (relayed) {
            releaseConsumedBytes();
        }
    }

    /** Discards the incomplete event at the end of the data received so far. */
    void discardPartialEvent() {
        pending.skipBytes(pending.readableBytes());
        lineStart = 0;
        scanned = 0;
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

    /** Returns the number of bytes scanned or copied, which is the work that the stream has caused. */
    long processedBytes() {
        return processedBytes;
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

    // Returns the length of the first pending event, or -1 if it is incomplete.
    private int findEventLength() {
        int start = pending.readerIndex();
        processedBytes += pending.readableBytes() - scanned;
        int lineFeed = pending.indexOf(start + scanned, pending.writerIndex(), LINE_FEED);
        while (lineFeed >= 0) {
            int lineIndex = start + lineStart;
            int length = lineFeed - lineIndex;
            boolean blank = length == 0 || (length == 1 && pending.getByte(lineIndex) == CARRIAGE_RETURN);
            lineStart = blank ? 0 : lineFeed + 1 - start;
            scanned = lineStart;
            if (blank) {
                return lineFeed + 1 - start;
            }
            lineFeed = pending.indexOf(start + scanned, pending.writerIndex(), LINE_FEED);
        }
        scanned = pending.readableBytes();
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
        processedBytes += pending.readableBytes();
        ByteBuf rest = Unpooled.copiedBuffer(pending);
        pending.release();
        pending = Unpooled.buffer(Math.max(rest.readableBytes(), 1));
        pending.writeBytes(rest);
        rest.release();
    }
}
