package standthree;

/** A small deployment as the pages describe it. */
final class Site {
    static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
             {"name":"entry","host":"desk.example","prefix":"/entry/","kind":"unsafe",
              "timeout_ms":3000,"goal_ms":300,"priority":2,"service":"desk","max_attempts":1,
              "public":false},
             {"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"safe",
              "timeout_ms":3000,"goal_ms":300,"priority":2,"service":"desk","max_attempts":2,
              "public":false},
             {"name":"chat","host":"desk.example","prefix":"/chat/","kind":"streaming",
              "timeout_ms":8000,"goal_ms":1900,"priority":0,"service":"pool","max_attempts":2,
              "stages":[{"service":"meters","after":[],"bytes":8000}],
              "public":false,"sticky":true,"resumable":true,"gap_aim_ms":400}],
             "services":[
              {"name":"pool","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,
               "cold_start_s":3.0,"cold_per_s":8.2,
               "engine":{"slots":64,"kv_capacity_tokens":267580,"kv_token_bytes":163840,
                         "link_mbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,
                         "pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
                         "models":[{"name":"m"}]}},
              {"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,
               "cold_start_s":0.0,"cold_per_s":0.0},
              {"name":"meters","health_path":"/health","max_conns":370,"protocol":"h1",
               "tls":false,"cold_start_s":0.0,"cold_per_s":0.0,
               "pieces":{"slots":1,"queue":2,"batch":6,"call_ms":150.0,"item_ms":21.33,
                         "headroom_mb":33.75,"handle_s":4.0,"link_mbps":10000}}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
                       "header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"builders","api_keys":["key-builders"],"priority":0},
                        {"name":"clinics","api_keys":["key-clinics"],"priority":0}]}
            """;

    private Site() {}

    static String head(String method, String target, String id, int deadlineMillis, String more) {
        return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\n"
                + "X-Wasabilug-Request-Id: " + id + "\r\n"
                + "X-Wasabilug-Deadline-Ms: " + deadlineMillis + "\r\n"
                + "Authorization: Token key-builders\r\n" + more
                + "Content-Length: 0\r\n\r\n";
    }
}
