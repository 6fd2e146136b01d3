package io.heatherloft.ports.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of bytes into lines of UTF-8 text.
 *
 * <p>Invariant: the bytes after the last line feed are kept for the next call. Confined to one thread.
 */
public final class LineSplitter {
    private static final byte LINE_FEED = '\n';
    private static final char CARRIAGE_RETURN = '\r';

    private final ByteArrayOutputStream incompleteLine = new ByteArrayOutputStream();

    /** Adds bytes and returns the lines that they complete, without line ends. */
    public List<String> add(byte[] chunk) {
        List<String> lines = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < chunk.length; index++) {
            if (chunk[index] == LINE_FEED) {
                incompleteLine.write(chunk, start, index - start);
                lines.add(completeLine());
                start = index + 1;
            }
        }
        incompleteLine.write(chunk, start, chunk.length - start);
        return lines;
    }

    private String completeLine() {
        String line = incompleteLine.toString(StandardCharsets.UTF_8);
        incompleteLine.reset();
        boolean endsWithReturn = !line.isEmpty() && line.charAt(line.length() - 1) == CARRIAGE_RETURN;
        return endsWithReturn ? line.substring(0, line.length() - 1) : line;
    }
}
