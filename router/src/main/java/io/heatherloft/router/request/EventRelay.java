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
    private OptionalLong lastId;
    private long passedOn;
    private boolean disordered;

    /**
     * Creates a relay.
     *
     * @param lastId id of the last event that the caller has
     * @param sink takes over the whole events that follow
     */
    EventRelay(OptionalLong lastId, Consumer<ByteBuf> sink) {
        this.lastId = lastId;
        this.sink = sink;
    }

    /** Takes the next bytes of the present run. */
    void accept(ByteBuf part) {
        pending.writeBytes(part);
        int end = endOfEvent(pending.readerIndex());
        while (end >= 0 && !disordered) {
            ByteBuf event = pending.readRetainedSlice(end - pending.readerIndex());
            passOn(event);
            end = endOfEvent(pending.readerIndex());
        }
        compact();
    }

    /** Forgets the part of an event that the present run left behind. */
    void discardPartial() {
        pending.skipBytes(pending.readableBytes());
        compact();
    }

    /** Returns true if the present run has sent a part of an event only. */
    boolean hasPartial() {
        return pending.isReadable();
    }

    /** Returns true if an event was missing; nothing was passed on since. */
    boolean isDisordered() {
        return disordered;
    }

    /** Returns the id of the last event that the caller has. */
    OptionalLong lastId() {
        return lastId;
    }

    /** Returns the number of events passed on. */
    long passedOn() {
        return passedOn;
    }

    private void passOn(ByteBuf event) {
        OptionalLong id = idOf(event);
        if (id.isPresent() && lastId.isPresent()) {
            long step = id.getAsLong() - lastId.getAsLong();
            if (step <= 0) {
                event.release();
                return;
            }
            if (step > 1) {
                disordered = true;
                event.release();
                return;
            }
        }
        lastId = id.isPresent() ? id : lastId;
        passedOn++;
        sink.accept(event);
    }

    private int endOfEvent(int from) {
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

    private static OptionalLong idOf(ByteBuf event) {
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

    private void compact() {
        // Slices given to the sink may still be read, so the buffer is replaced, not moved.
        ByteBuf rest = Unpooled.copiedBuffer(pending);
        pending.release();
        pending = Unpooled.buffer(Math.max(rest.readableBytes(), 1));
        pending.writeBytes(rest);
        rest.release();
    }
}
