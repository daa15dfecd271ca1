import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the command of the deploy file. */
final class Gateway {
    private final String mName;
    private final String mHost;
    private final Ports mPorts;
    private final Path mSettings;
    private final Path mLog;
    private Process mProcess;

    /** Ports of all instances; each instance has a loopback address of its own. */
    record Ports(int front, int ready, int peers) {
        static Ports free(int hosts) throws Exception {
            for (int first = 21000 + (int) (Math.random() * 8000); first < 30000; first += 7) {
                if (free(hosts, first)
                        && free(hosts, first + 1)
                        && free(hosts, first + 2)
                        && free(hosts, first + 3)) {
                    return new Ports(first, first + 1, first + 2);
                }
            }
            throw new IllegalStateException("no free ports");
        }

        private static boolean free(int hosts, int port) {
            for (int host = 1; host <= hosts; host++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress("127.0.0." + (host + 1), port));
                } catch (Exception taken) {
                    return false;
                }
            }
            return true;
        }
    }

    Gateway(Path folder, String name, int number, String zone, Ports ports, int storePort)
            throws Exception {
        mName = name;
        mHost = "127.0.0." + (number + 1);
        mPorts = ports;
        mSettings = folder.resolve(name + ".json");
        mLog = folder.resolve(name + ".log");
        Files.writeString(
                mSettings,
                """
                {"node_name":"NAME","role":"gateway","machine_class":"front","serves":["front"],"ip":"HOST",
                 "zone":"ZONE","region":"breizh","zones":{"zone-rennes":"breizh","zone-brest":"breizh"},
                 "listen":{"front":"HOST:FRONT","ready":"HOST:READY"},"port_range":[PEERS,PEERS_END],
                 "seeds":[],"bootstrap":true,"heartbeat_ms":1200,
                 "limits":{"cpu_share":0.75,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
                 "bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,
                  "drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,
                  "outer_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_extra":52,"cold_over":1.5,
                  "cold_slack":5,"evacuate_ms":5000,"recover_s":12,"pass_ms":120,"again_s":10},
                 "platform":{"address":"127.0.0.1:STORE","form":"table","writes_per_s":400,"reads_per_s":2000,
                  "tx_ms":5.0,"part_writes_s":200,"row_bytes":65536,"across":false,"history_s":20}}
                """
                        .replace("NAME", name)
                        .replace("HOST", mHost)
                        .replace("ZONE", zone)
                        .replace("FRONT", "" + ports.front())
                        .replace("READY", "" + ports.ready())
                        .replace("PEERS_END", "" + (ports.peers() + 15))
                        .replace("PEERS", "" + ports.peers())
                        .replace("STORE", "" + storePort));
    }

    String name() {
        return mName;
    }

    /** Starts the process with the words of the deploy file's run line. */
    void start(Path root) throws Exception {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("the deploy file has no run line");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("WASABILUG_SETTINGS", mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
        // Also if this program is ended before its end.
        Runtime.getRuntime().addShutdownHook(new Thread(mProcess::destroyForcibly));
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    Process process() {
        return mProcess;
    }

    String log() throws Exception {
        return Files.readString(mLog);
    }

    /** Returns whether the process counts as ready, as the platform asks it. */
    boolean ready() {
        try (Socket socket = connect(mPorts.ready(), 1_000)) {
            socket.getOutputStream()
                    .write(("GET /v1/ready HTTP/1.1\r\nHost: " + mHost + "\r\n\r\n").getBytes());
            Http.Message answer = Http.read(socket.getInputStream());
            return answer != null && answer.target().equals("200");
        } catch (Exception noAnswer) {
            return false;
        }
    }

    void awaitReady(long millis) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000;
        while (!ready()) {
            if (System.nanoTime() > until || !alive()) {
                throw new IllegalStateException(mName + " does not become ready");
            }
            Thread.sleep(100);
        }
    }

    private Socket connect(int port, int timeoutMillis) throws Exception {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getByName(mHost), port), 1_000);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }

    Socket connect(int timeoutMillis) throws Exception {
        return connect(mPorts.front(), timeoutMillis);
    }

    /** Sends one request on a new connection; returns its answer. */
    Http.Message request(String head, byte[] body, int timeoutMillis) throws Exception {
        try (Socket socket = connect(timeoutMillis)) {
            Http.write(socket.getOutputStream(), head, body);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.read(in);
            if (answer == null) {
                throw new java.io.IOException("closed without an answer");
            }
            return answer;
        }
    }

    /** Kills the process that this object started. */
    void kill() {
        mProcess.destroyForcibly();
    }

    /** Ends the process that this object started. */
    void end() throws Exception {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            mProcess.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
