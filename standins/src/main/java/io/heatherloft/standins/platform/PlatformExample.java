package io.heatherloft.standins.platform;

/**
 * Small values and messages in the platform's formats.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class PlatformExample {
    private PlatformExample() {}

    /** Returns a configuration with one engine service, one plain service and one workspace with a key. */
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
                "tenants":[{"name":"malmo","api_keys":["%s"],"priority":1}]}
                """
                .formatted(version, key);
    }

    /** Returns what a backend server on this machine says of itself. */
    public static String backend(String service, int port, String version) {
        return backend(service, port, version, "ready");
    }

    /** Returns what a backend server on this machine says of itself. */
    public static String backend(String service, int port, String version, String state) {
        return """
                {"service":"%s","address":"127.0.0.1:%d","zone":"a","version":"%s","slots":64,"state":"%s",
                "cold_left_ms":0,"seq":1,"born":1772662159541}
                """
                .formatted(service, port, version, state);
    }

    /** Returns a request for a stream. */
    public static String streamRequest(String id, String key) {
        return """
                POST /plans/north HTTP/1.1\r
                Host: a.example\r
                X-Attempt-Id: %s\r
                X-Model-Name: *\r
                X-Token-Count: 1460,80\r
                X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r
                X-Deadline-Ms: 5000\r
                Session: s1\r
                Authorization: Bearer %s\r
                Content-Length: 5\r
                \r
                hello"""
                .formatted(id, key);
    }

    /** Returns a request to a plain service. */
    public static String plainRequest(String method, String path, String id, String key) {
        return """
                %s %s HTTP/1.1\r
                Host: a.example\r
                X-Attempt-Id: %s\r
                X-Deadline-Ms: 2000\r
                Authorization: Bearer %s\r
                Content-Length: 0\r
                \r
                """
                .formatted(method, path, id, key);
    }
}
