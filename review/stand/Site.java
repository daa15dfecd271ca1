import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: a store, engines and instances of the project's gateway. */
final class Site implements AutoCloseable {
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String OTHER_KEY = "jnbanfqasnmgkcuyj8pj";

    final Journal journal;
    final Store store = new Store();
    final List<Engine> engines = new ArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();
    private final Path mFolder;
    private final Path mRoot;
    private int mRequests;

    Site(Path caseFolder) throws Exception {
        journal = new Journal(caseFolder.resolve("record.txt"));
        mFolder = Files.createTempDirectory("wasabilug-review");
        mRoot = Path.of("").toAbsolutePath();
    }

    Path root() {
        return mRoot;
    }

    /** Returns a desired state with one streaming, one unsafe and one safe route. */
    static String configuration(int version, String extraRoutes, String keys) {
        return """
        {"version":VERSION,"routes":[
         {"name":"r-draft","host":"pule25.example","prefix":"/puxa400/","kind":"streaming","timeout_ms":6000,
          "goal_ms":1300,"priority":0,"service":"flotte","max_attempts":2,"public":false,"sticky":true,
          "resumable":true,"gap_aim_ms":400},
         {"name":"r-transfer","host":"jepu9.example","prefix":"/bobo563/","kind":"unsafe","timeout_ms":800,
          "goal_ms":300,"priority":2,"service":"livre","max_attempts":1,"public":false},
         EXTRA
         {"name":"r-lookup","host":"pule25.example","prefix":"/wuhu344/","kind":"safe","timeout_ms":800,
          "goal_ms":300,"priority":2,"service":"livre","max_attempts":2,"public":false}],
         "services":[
         {"name":"flotte","health_path":"/health","max_conns":360,"cold_start_s":0.0,"cold_per_s":0.0,
          "engine":{"slots":64,"kv_capacity_tokens":275266}},
         {"name":"livre","health_path":"/health","max_conns":360,"cold_start_s":0.0,"cold_per_s":0.0}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
         "tenants":[{"name":"bozi300","api_keys":[KEYS],"priority":1}]}\
        """
                .replace("VERSION", "" + version)
                .replace("EXTRA", extraRoutes)
                .replace("KEYS", keys);
    }

    static String keys(String... keys) {
        return "\"" + String.join("\",\"", keys) + "\"";
    }

    void configure(int version) {
        store.put("op", "config", configuration(version, "", keys(KEY)));
    }

    Engine engine(String id, String service, String zone, boolean streams) throws Exception {
        Engine engine = new Engine(store, journal, id, service, zone, streams);
        engines.add(engine);
        return engine;
    }

    static String name(int instance) {
        return "front-" + instance;
    }

    void start(int instances) throws Exception {
        Gateway.Ports ports = Gateway.Ports.free(instances);
        for (int number = 1; number <= instances; number++) {
            String name = name(number);
            String zone = number % 2 == 1 ? "zone-rennes" : "zone-brest";
            Gateway gateway = new Gateway(mFolder, name, number, zone, ports, store.listen(name));
            gateways.add(gateway);
            gateway.start(mRoot);
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady(20_000);
            journal.say("ready    " + gateway.name());
        }
    }

    synchronized String nextId() {
        return String.format("%016x", 0x9c41d07be2000000L + ++mRequests);
    }

    static String head(
            String method, String host, String path, String id, String key, int deadline) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + host
                + "\r\nX-Wasabilug-Request-Id: "
                + id
                + "\r\nX-Wasabilug-Deadline-Ms: "
                + deadline
                + "\r\nAuthorization: Token "
                + key;
    }

    static String draft(String id) {
        return head("POST", "pule25.example", "/puxa400/2f", id, KEY, 6_000)
                + "\r\nX-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 1460,80"
                + "\r\nX-Wasabilug-Prefix-Hash: 5c1e07a2:800,"
                + id.substring(8)
                + ":660";
    }

    static String transfer(String id) {
        return head("POST", "jepu9.example", "/bobo563/lo7/2f", id, KEY, 1_500);
    }

    static String lookup(String id) {
        return head("GET", "pule25.example", "/wuhu344/2f", id, KEY, 1_500);
    }

    /** Sends a request and records what was sent and answered; returns the status, 0 if none. */
    int send(Gateway gateway, String head, String id, byte[] body, int timeoutMillis) {
        journal.say(
                "send     "
                        + id
                        + " to "
                        + gateway.name()
                        + ", "
                        + head.split("\r\n")[0]
                        + ", "
                        + body.length
                        + " bytes");
        long sent = journal.millis();
        try {
            Http.Message answer = gateway.request(head, body, timeoutMillis);
            journal.say(
                    "answer   "
                            + id
                            + " "
                            + answer.target()
                            + " after "
                            + (journal.millis() - sent)
                            + " ms, "
                            + answer.body().length
                            + " bytes");
            return Integer.parseInt(answer.target());
        } catch (Exception none) {
            journal.say(
                    "answer   " + id + " none after " + (journal.millis() - sent) + " ms: " + none);
            return 0;
        }
    }

    /** Returns what an instance wrote to its log. */
    String log(Gateway gateway) throws Exception {
        return gateway.log();
    }

    @Override
    public void close() throws Exception {
        for (Gateway gateway : gateways) {
            gateway.end();
        }
        engines.forEach(Engine::end);
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(mFolder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.err.println("logs in " + mFolder);
        }
        journal.close();
    }
}
