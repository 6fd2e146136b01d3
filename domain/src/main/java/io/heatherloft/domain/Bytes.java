package io.heatherloft.domain;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A sequence of bytes with value equality.
 *
 * <p>Invariant: immutable; arrays are copied on the way in and on the way out. Thread-safe.
 */
public final class Bytes {
    /** The empty sequence. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] content;

    private Bytes(byte[] content) {
        this.content = content;
    }

    /** Returns a sequence that holds a copy of an array. */
    public static Bytes copyOf(byte[] content) {
        return new Bytes(content.clone());
    }

    /** Returns the UTF-8 encoding of a string. */
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
