package io.heatherloft.standins;

import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.HttpResponse;
import java.io.IOException;

/**
 * Makes answers whose connection breaks before their end. Stateless and safe for use by several threads.
 */
final class AbortedResponses {
    private AbortedResponses() {}

    static HttpResponse abortedResponse() {
        return HttpResponse.ok200()
                .withBodyStream(ChannelSuppliers.ofException(new IOException("connection broken on purpose")))
                .build();
    }
}
