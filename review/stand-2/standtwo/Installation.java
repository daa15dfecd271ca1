package standtwo;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small installation on loopback addresses: the store, gateways and engines. Everything that
 * happens is written to the record; all processes end with it.
 */
final class Installation implements AutoCloseable {
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;

    /** Settings of a gateway, with the figures of the site frigoval-bzh. */
    private static final String SETTINGS =
            """
            {"node_name":"%s","role":"gateway","machine_class":"front","serves":["front"],
            "ip":"%s","zone":"%s","region":"breizh",
            "zones":{"zone-rennes":"breizh","zone-brest":"breizh"},
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "port_range":[%d,%d],"seeds":[],"bootstrap":true,
            "limits":{"cpu_share":0.75,"cores":1,"memory_mb":430,"max_fds":4100,
            "link_mbps":1000.0,"disk_mb":0},
            "discovery":"platform","entry":"vip","heartbeat_ms":1200,
            "contracts":["base","drain","config","cost","retry","recover","engine","stream",
            "tenants","places","platform","stages"],
            "bounds":{"contact_ms":3000,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,
            "config_ms":2000,"budget_ratio":0.2,"budget_window_s":10,"budget_extra":52,
            "cold_over":1.5,"cold_slack":5,"evacuate_ms":5000,"recover_s":12},
            "platform":{"address":"%s","form":"table"}}
            """;

    private final Store mStore = new Store();
    private final Path mFolder = Files.createTempDirectory("review-2");
    private final PrintWriter mRecord;
    private final long mStarted = System.nanoTime();
    private final List<Process> mProcesses = new ArrayList<>();
    private final Map<String, Beat> mBeats = new ConcurrentHashMap<>();
    private volatile boolean mClosed;
    private int mStarts;

    /** What an engine says of itself, and whether its process lives. */
    private static final class Beat {
        private final RunningEngine mEngine;
        private final String mVersion;
        private final long mBorn = System.currentTimeMillis();
        private String mState = "ready";
        private int mNumber;
        private long mLastMillis;

        Beat(RunningEngine engine, String version) {
            mEngine = engine;
            mVersion = version;
        }
    }

    Installation(Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        mStore.put("op", "config", configuration());
        Thread.ofVirtual().start(this::beat);
    }

    private static String configuration() {
        String routes =
                route("chat", "streaming", 15_000, 2, true)
                        + ","
                        + route("summary", "streaming", 6_000, 1, false)
                        + ","
                        + route("entry", "unsafe", 1_500, 1, false)
                        + ","
                        + route("lookup", "safe", 1_500, 2, false);
        return "{\"version\":7,\"routes\":["
                + routes
                + "],\"services\":[{\"name\":\"flotte\",\"health_path\":\"/health\","
                + "\"max_conns\":360,\"cold_start_s\":0.0,\"cold_per_s\":8.2,\"engine\":{\"slots\":64,"
                + "\"kv_capacity_tokens\":275266,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static String route(
            String name, String kind, int timeoutMillis, int attempts, boolean resumable) {
        return "{\"name\":\"r-"
                + name
                + "\",\"host\":\"records.example\",\"prefix\":\"/"
                + name
                + "/\",\"kind\":\""
                + kind
                + "\",\"timeout_ms\":"
                + timeoutMillis
                + ",\"goal_ms\":2700,\"priority\":0,\"service\":\"flotte\",\"max_attempts\":"
                + attempts
                + ",\"stages\":[],\"public\":false,\"sticky\":true,\"resumable\":"
                + resumable
                + ",\"gap_aim_ms\":400}";
    }

    /** Writes a line with the time since the start to the record. */
    synchronized void record(String line) {
        mRecord.printf("%9.3f  %s%n", (System.nanoTime() - mStarted) / 1e9, line);
    }

    /** Has live engines write their entries, and removes those that have fallen silent. */
    private void beat() {
        while (!mClosed) {
            long now = System.currentTimeMillis();
            for (Map.Entry<String, Beat> each : mBeats.entrySet()) {
                Beat beat = each.getValue();
                if (!beat.mEngine.process().isAlive()) {
                    if (now - beat.mLastMillis >= EXPIRY_MILLIS) {
                        mBeats.remove(each.getKey());
                        mStore.remove("servers", each.getKey());
                        record("the store: entry of " + each.getKey() + " expired");
                    }
                } else if (now - beat.mLastMillis >= HEARTBEAT_MILLIS) {
                    write(beat);
                }
            }
            pause(50);
        }
    }

    private void write(Beat beat) {
        beat.mLastMillis = System.currentTimeMillis();
        beat.mNumber++;
        RunningEngine engine = beat.mEngine;
        mStore.put(
                "servers",
                engine.id(),
                "{\"service\":\"flotte\",\"address\":\""
                        + engine.address()
                        + "\",\"zone\":\""
                        + engine.zone()
                        + "\",\"version\":\""
                        + beat.mVersion
                        + "\",\"slots\":64,\"state\":\""
                        + beat.mState
                        + "\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                        + "\"version\":1,\"adapters\":[]}],\"seq_no\":"
                        + beat.mNumber
                        + ",\"born\":"
                        + beat.mBorn
                        + "}");
    }

    /** An engine process; its address is that of a link if there is one before it. */
    record RunningEngine(String id, String zone, String address, int port, Process process) {}

    /** Starts an engine that is not registered yet. */
    RunningEngine startEngine(String id, String zone, int port) throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx64m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "standtwo.Engine",
                                id,
                                Integer.toString(port))
                        .redirectErrorStream(true)
                        .start();
        add(process);
        BufferedReader lines = process.inputReader();
        String first = lines.readLine();
        if (first == null || !first.startsWith("port ")) {
            throw new IllegalStateException("engine " + id + " did not start: " + first);
        }
        int listening = Integer.parseInt(first.substring("port ".length()));
        Thread.ofPlatform()
                .daemon()
                .start(() -> lines.lines().forEach(line -> record("engine " + id + ": " + line)));
        record("engine " + id + " started at port " + listening + ", process " + process.pid());
        return new RunningEngine(id, zone, "127.0.0.1:" + listening, listening, process);
    }

    /** Returns an engine that is reached over a link. */
    RunningEngine behind(RunningEngine engine, Link link) {
        record("engine " + engine.id() + " is reached at " + link.address());
        return new RunningEngine(
                engine.id(), engine.zone(), link.address(), engine.port(), engine.process());
    }

    /** Has an engine register itself, from now on with heartbeats. */
    void register(RunningEngine engine) {
        register(engine, "v1");
    }

    /** Has an engine of some software version register itself. */
    void register(RunningEngine engine, String version) {
        Beat beat = new Beat(engine, version);
        write(beat);
        mBeats.put(engine.id(), beat);
        record("engine " + engine.id() + " registers, version " + version);
    }

    /** Has an engine report that it drains. */
    void drain(RunningEngine engine) {
        Beat beat = mBeats.get(engine.id());
        beat.mState = "draining";
        write(beat);
        record("engine " + engine.id() + " reports draining");
    }

    /** Removes the entry of an engine that leaves. */
    void leave(RunningEngine engine) {
        mBeats.remove(engine.id());
        mStore.remove("servers", engine.id());
        record("engine " + engine.id() + " has left");
    }

    /** Ends all engines and removes their entries. */
    void endEngines() {
        mBeats.values()
                .forEach(
                        beat -> {
                            beat.mEngine.process().destroyForcibly();
                            leave(beat.mEngine);
                        });
    }

    /** A gateway process. */
    record Gateway(
            String name, int port, int readyPort, Process process, Path settings, Path output) {}

    /** Starts a gateway with the command of the deploy file. */
    Gateway startGateway(String name, String zone) throws Exception {
        return startGateway(name, zone, "127.0.0.1", freePorts(2));
    }

    /**
     * Starts one of several gateways, which share the ports for each other and have addresses of
     * their own.
     */
    Gateway startGateway(String name, String zone, String address, int peers) throws Exception {
        int front = freePorts(1);
        int ready = freePorts(1);
        Path file = mFolder.resolve(name + ".json");
        Files.writeString(
                file,
                SETTINGS.formatted(
                        name, address, zone, front, ready, peers, peers + 1, mStore.address()));
        return run(name, front, ready, file);
    }

    /** Starts a gateway again whose process has ended, with the same settings. */
    Gateway startAgain(Gateway gateway) throws Exception {
        return run(gateway.name(), gateway.port(), gateway.readyPort(), gateway.settings());
    }

    private Gateway run(String name, int front, int ready, Path settings) throws Exception {
        Path output = mFolder.resolve(name + "-" + ++mStarts + ".out");
        ProcessBuilder builder =
                new ProcessBuilder(command())
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile());
        builder.environment().put("WASABILUG_SETTINGS", settings.toString());
        Process process = builder.start();
        add(process);
        record("gateway " + name + " started, process " + process.pid());
        Gateway gateway = new Gateway(name, front, ready, process, settings, output);
        awaitReady(gateway);
        return gateway;
    }

    /** Returns the command of the deploy file, which runs in the root of the repository. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.length() - 1).split(" "));
            }
        }
        throw new IllegalStateException("deploy/system.toml has no line 'run'");
    }

    private void awaitReady(Gateway gateway) throws Exception {
        for (int attempt = 0; attempt < 300; attempt++) {
            if (isReady(gateway)) {
                record("gateway " + gateway.name() + " is ready");
                return;
            }
            pause(50);
        }
        throw new IllegalStateException("gateway " + gateway.name() + " is not ready");
    }

    private static boolean isReady(Gateway gateway) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + gateway.readyPort() + "/v1/ready")
                                    .toURL()
                                    .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Returns the first of so many free ports in a row. */
    static int freePorts(int count) throws IOException {
        while (true) {
            List<ServerSocket> sockets = new ArrayList<>();
            try {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
                int first = sockets.getFirst().getLocalPort();
                for (int next = 1; next < count; next++) {
                    sockets.add(
                            new ServerSocket(first + next, 1, InetAddress.getLoopbackAddress()));
                }
                return first;
            } catch (IOException taken) {
                // Another try finds other ports.
            } finally {
                for (ServerSocket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    /** Sends a signal to a process that this installation has started. */
    void signal(Process process, String name, String what) throws Exception {
        record("SIG" + name + " to " + what);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    /** Writes the lines of a gateway's log that hold a text to the record. */
    void recordLog(Gateway gateway, String... texts) throws IOException {
        for (String line : Files.readAllLines(gateway.output())) {
            for (String text : texts) {
                if (line.contains(text)) {
                    record("log of " + gateway.name() + ": " + line);
                    break;
                }
            }
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void add(Process process) {
        mProcesses.add(process);
    }

    private synchronized void endProcesses() {
        mProcesses.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        mClosed = true;
        endProcesses();
        mStore.close();
        File[] files = mFolder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        mFolder.toFile().delete();
        mRecord.close();
    }
}
