package io.heatherloft.standins;

import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.HttpResponse;
import java.io.IOException;

/**
 * Creates responses whose connection is broken before the body is complete. Stateless and thread-safe.
 */
final class AbortedResponses {
    private AbortedResponses() {}

    static HttpResponse abortedResponse() {
        return HttpResponse.ok200()
                .withBodyStream(ChannelSuppliers.ofException(new IOException("connection aborted by fault injection")))
                .build();
    }
}
