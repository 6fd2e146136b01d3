package io.heatherloft.router.http;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Rejects requests whose end or target two servers could read in different ways.
 *
 * <p>Invariant: an accepted request has at most one length, no second framing, one host name and a target that begins
 * with a slash and has no dot segments. Stateless and safe for use by several threads.
 */
final class RequestFraming {
    private static final Pattern DOT_SEGMENT = Pattern.compile("/(?:\\.|%2e){1,2}(?:/|$)", Pattern.CASE_INSENSITIVE);
    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");

    private RequestFraming() {}

    /** Returns the status with which a request is rejected; empty if it is accepted. */
    static Optional<HttpResponseStatus> findRejection(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(decodeFailureStatus(request.decoderResult()));
        }
        boolean accepted = request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && hasUnambiguousFraming(request.headers())
                && request.headers().getAll(HttpHeaderNames.HOST).size() == 1
                && isNormalizedTarget(request.uri());
        return accepted ? Optional.empty() : Optional.of(HttpResponseStatus.BAD_REQUEST);
    }

    /** Returns the status for a request that could not be parsed. */
    static HttpResponseStatus decodeFailureStatus(DecoderResult result) {
        if (result.cause() instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return result.cause() instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Returns the host name without its port, in lower case. */
    static String parseHostName(HttpRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "").trim().toLowerCase(Locale.ROOT);
        int port = host.lastIndexOf(':');
        return port > 0 && host.indexOf(']', port) < 0 ? host.substring(0, port) : host;
    }

    private static boolean hasUnambiguousFraming(HttpHeaders headers) {
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean soundLength = lengths.isEmpty()
                || (lengths.size() == 1
                        && CONTENT_LENGTH.matcher(lengths.get(0).trim()).matches());
        boolean soundCoding = codings.isEmpty()
                || (codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked") && lengths.isEmpty());
        return soundLength && soundCoding;
    }

    private static boolean isNormalizedTarget(String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return path.startsWith("/")
                && path.indexOf('#') < 0
                && !DOT_SEGMENT.matcher(path).find();
    }
}
