import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {
    private Http() {}

    /** The first line of a message and its header lines, as they came. */
    record Head(String firstLine, List<String> lines) {
        String header(String name) {
            for (String line : lines) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).trim().equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).trim();
                }
            }
            return "";
        }

        int status() {
            String[] words = firstLine.split(" ");
            return words.length > 1 ? Integer.parseInt(words[1]) : 0;
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }
    }

    /** Returns the next head, or null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            lines.add(line);
            line = readLine(in);
        }
        if (line == null) {
            throw new EOFException("the stream ended inside a head");
        }
        return new Head(first, lines);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            bytes.write(next);
            next = in.read();
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads a body with a length or in chunks. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the stream ended inside a body");
                }
                int length = Integer.parseInt(size.trim(), 16);
                body.write(readFully(in, length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the stream ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
