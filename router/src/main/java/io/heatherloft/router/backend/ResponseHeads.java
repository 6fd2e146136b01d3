package io.heatherloft.router.backend;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Tells the head of one response from one that is joined of parts of two.
 *
 * <p>A server that breaks off inside a head and then sends another response leaves that one's status line in the middle of a
 * line: in the reason phrase, or in the value of a header. The decoder rejects one inside a header's name.
 */
final class ResponseHeads {
    private static final String PROTOCOL_PREFIX = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] +[0-9]{3}");

    private ResponseHeads() {}

    /** Returns true if the head holds the status line of a further response, or names no version of HTTP/1. */
    static boolean isJoined(HttpResponse response) {
        HttpVersion version = response.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return true;
        }
        if (holdsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        Iterator<Map.Entry<CharSequence, CharSequence>> fields =
                response.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            if (holdsStatusLine(fields.next().getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(CharSequence text) {
        return AsciiString.contains(text, PROTOCOL_PREFIX)
                && STATUS_LINE.matcher(text).find();
    }
}
