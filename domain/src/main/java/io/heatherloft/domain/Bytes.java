package io.heatherloft.domain;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A sequence of bytes with value equality.
 *
 * <p>Invariant: never changes; neither the constructor's argument nor a returned array is shared. Safe for use by
 * several threads.
 */
public final class Bytes {
    /** No bytes. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] content;

    private Bytes(byte[] content) {
        this.content = content;
    }

    /** Returns a copy of an array. */
    public static Bytes copyOf(byte[] content) {
        return new Bytes(content.clone());
    }

    /** Returns the UTF-8 form of a text. */
    public static Bytes ofText(String text) {
        return new Bytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the number of bytes. */
    public int length() {
        return content.length;
    }

    /** Returns a copy of the content. */
    public byte[] toArray() {
        return content.clone();
    }

    /** Returns the content decoded as UTF-8. */
    public String toText() {
        return new String(content, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes bytes && Arrays.equals(content, bytes.content);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(content);
    }

    @Override
    public String toString() {
        return "Bytes[" + content.length + "]";
    }
}
