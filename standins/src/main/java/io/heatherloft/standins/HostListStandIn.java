package io.heatherloft.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.heatherloft.ports.http.JsonHttpClient;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The platform's host list, with entity tags for conditional reads.
 *
 * <p>Confined to the event loop's thread.
 */
public final class HostListStandIn implements AsyncServlet {
    private static final int STATUS_NOT_MODIFIED = 304;

    private final Map<String, ListedHost> hosts = new LinkedHashMap<>();
    private long version = 1;

    /** Adds a host or replaces its entry. */
    public void put(ListedHost host) {
        hosts.put(host.address(), host);
        version++;
    }

    /** Removes a host. */
    public void remove(String address) {
        hosts.remove(address);
        version++;
    }

    /** Marks a host as leaving. */
    public void markLeaving(String address) {
        hosts.computeIfPresent(address, (_address, host) -> host.withLeavingState());
        version++;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String tag = "\"" + version + "\"";
        if (tag.equals(request.getHeader(HttpHeaders.of("If-None-Match")))) {
            return Promise.of(HttpResponse.ofCode(STATUS_NOT_MODIFIED).build());
        }
        ObjectNode document = JsonHttpClient.MAPPER.createObjectNode();
        ArrayNode list = document.putArray("hosts");
        hosts.values().forEach(host -> list.addObject()
                .put("id", host.id())
                .put("address", host.address())
                .put("role", host.role())
                .put("pool", host.pool())
                .put("availability_zone", host.availabilityZone())
                .put("state", host.state()));
        return Promise.of(HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.of("ETag"), tag)
                .withBody(document.toString())
                .build());
    }

    /**
     * An entry of the list.
     *
     * @param role {@code entry} or {@code backend}
     * @param state {@code live} or {@code withLeavingState}
     */
    public record ListedHost(
            String id, String address, String role, String pool, String availabilityZone, String state) {
        ListedHost withLeavingState() {
            return new ListedHost(id, address, role, pool, availabilityZone, "leaving");
        }
    }
}
