package io.heatherloft.standins.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Sample configurations, store entries, requests and host settings in the platform's formats.
 *
 * <p>Stateless and thread-safe.
 */
public final class PlatformFixtures {
    /** Header that carries the request id; the response echoes it. */
    public static final String REQUEST_ID_HEADER = "X-Attempt-Id";
    /** Response header that carries the seal of the backend server that produced the response. */
    public static final String SEAL_HEADER = "X-Runner-Seal";
    /** Workspace to which the API key of the sample configuration belongs. */
    public static final String WORKSPACE = "malmo";

    private static final long FIRST_START_MILLIS = 1_772_662_159_541L;

    private PlatformFixtures() {}

    /** Returns a configuration with one engine service, one plain service and one workspace with one API key. */
    public static String configuration(int version, String key) {
        return """
                {"version":%d,"routes":[
                {"name":"plans","host":"a.example","prefix":"/plans/","route_type":"stream","timeout_ms":25000,
                "objective_ms":1000,"priority":1,"sizes":["small","large"],"service":"llm","max_attempts":3,
                "stream_resume":true,"session_affinity":true,"gap_target_ms":1000},
                {"name":"bookings","host":"a.example","prefix":"/bookings/","route_type":"non_idempotent",
                "timeout_ms":2000,"objective_ms":100,"priority":2,"service":"desk","max_attempts":2},
                {"name":"lookups","host":"a.example","prefix":"/lookups/","route_type":"idempotent",
                "timeout_ms":2000,"objective_ms":100,"priority":2,"service":"desk","max_attempts":2}],
                "services":[{"name":"llm","health_path":"/health","max_conns":360,"engine":{"slots":64,
                "kv_capacity_tokens":700000,"models":[{"name":"small","cost":0.01},{"name":"large","cost":0.2}]}},
                {"name":"desk","health_path":"/health","max_conns":96}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},
                "tenants":[{"name":"%s","api_keys":["%s"],"priority":1}]}
                """
                .formatted(version, WORKSPACE, key);
    }

    /** Returns the store entry of a ready backend server on the loopback address. */
    public static String backendEntry(String service, int port, String version) {
        return backendEntry(service, port, version, "ready");
    }

    /** Returns the store entry of a backend server on the loopback address, in the given state. */
    public static String backendEntry(String service, int port, String version, String state) {
        return backendEntry(service, port, version, state, 0);
    }

    /** Returns the store entry of a ready backend server on the loopback address, in an availability zone. */
    public static String backendEntryInZone(String service, int port, String version, String zone) {
        return backendEntry(service, port, version).replace("\"zone\":\"a\"", "\"zone\":\"" + zone + '"');
    }

    /**
     * Returns the store entry of a ready backend server on the loopback address.
     *
     * @param starts number of times that the server has started again
     */
    public static String backendEntry(String service, int port, String version, int starts) {
        return backendEntry(service, port, version, "ready", starts);
    }

    private static String backendEntry(String service, int port, String version, String state, int starts) {
        return """
                {"service":"%s","address":"127.0.0.1:%d","zone":"a","version":"%s","slots":64,"state":"%s",
                "cold_left_ms":0,"seq":1,"born":%d}
                """
                .formatted(service, port, version, state, FIRST_START_MILLIS + starts);
    }

    /**
     * Returns the headers of a streaming request.
     *
     * @param deadlineMillis time that the caller waits for the response
     */
    public static Map<String, String> streamHeaders(String id, String key, long deadlineMillis, String session) {
        Map<String, String> headers = plainHeaders(id, key, deadlineMillis);
        headers.put("X-Model-Name", "*");
        headers.put("X-Token-Count", "1460,80");
        headers.put("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        headers.put("Session", session);
        return headers;
    }

    /**
     * Returns the headers of a request to a plain service.
     *
     * @param deadlineMillis time that the caller waits for the response
     */
    public static Map<String, String> plainHeaders(String id, String key, long deadlineMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "a.example");
        headers.put(REQUEST_ID_HEADER, id);
        headers.put("X-Deadline-Ms", String.valueOf(deadlineMillis));
        headers.put("Authorization", "Bearer " + key);
        return headers;
    }

    /** Returns a streaming request as HTTP/1.1 text. */
    public static String streamRequest(String id, String key) {
        return request("POST", "/plans/north", streamHeaders(id, key, 5_000, "s1"), "hello");
    }

    /**
     * Returns a streaming request of a session of its own as HTTP/1.1 text.
     *
     * @param sharedParts parts of the prompt that precede the request's own, as ID:TOKENS separated by commas
     */
    public static String streamRequest(String id, String key, String sharedParts) {
        return request("POST", "/plans/north", streamHeaders(id, key, 5_000, sharedParts, id), "hello " + id);
    }

    /**
     * Returns the headers of a streaming request of a session of its own.
     *
     * @param sharedParts parts of the prompt that precede the request's own, as ID:TOKENS separated by commas
     * @param ownPart text from which the ID of the request's own part is derived
     */
    public static Map<String, String> streamHeaders(
            String id, String key, long deadlineMillis, String sharedParts, String ownPart) {
        Map<String, String> headers = streamHeaders(id, key, deadlineMillis, "session-" + id);
        headers.put("X-Prompt-Prefix", sharedParts + ',' + Integer.toHexString(ownPart.hashCode()) + ":250");
        return headers;
    }

    /** Returns a request to a plain service as HTTP/1.1 text. */
    public static String plainRequest(String method, String path, String id, String key) {
        return request(method, path, plainHeaders(id, key, 2_000), "");
    }

    private static String request(String method, String path, Map<String, String> headers, String body) {
        String lines = headers.entrySet().stream()
                .map(header -> header.getKey() + ": " + header.getValue() + "\r\n")
                .collect(Collectors.joining());
        return method + ' ' + path + " HTTP/1.1\r\n" + lines + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /**
     * Returns the settings of an entry host on this machine.
     *
     * @param index position of this host in {@code peers}
     * @param callers address for callers' requests
     * @param ready address of the readiness endpoint
     * @param peers peer addresses of all hosts
     * @param storePort loopback port of the metadata store
     */
    public static String hostSettings(
            int index, String ip, String callers, String ready, List<String> peers, int graceSeconds, int storePort) {
        return """
                node_name: "host-%d"
                ip: "%s"
                zone: "a"
                listen_addrs:
                  front: "%s"
                  ready: "%s"
                  control: "%s"
                seed_nodes: [%s]
                bounds:
                  grace_s: %d
                platform:
                  address: "127.0.0.1:%d"
                """
                .formatted(
                        index,
                        ip,
                        callers,
                        ready,
                        peers.get(index),
                        peers.stream().map(peer -> '"' + peer + '"').collect(Collectors.joining(", ")),
                        graceSeconds,
                        storePort);
    }
}
