package standthree;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A store, servers and processes of the system that one case starts, and ends again. */
final class Drill implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private final Record mRecord;
    private final Path mFolder;
    private final Store mStore;
    private final int mPort = Gateway.freePorts();
    private final List<AutoCloseable> mParts = new ArrayList<>();
    private int mGateways;
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    Drill(String record) throws IOException {
        mRecord = new Record(Path.of(record));
        mFolder = Files.createTempDirectory("standthree");
        mStore = new Store(mRecord);
        mParts.add(mStore);
        mRecord.line(mTrouble ? "with the disruption" : "TROUBLE=0: without the disruption");
    }

    /** Returns whether the case brings its disruption about. */
    boolean trouble() {
        return mTrouble;
    }

    Record record() {
        return mRecord;
    }

    Store store() {
        return mStore;
    }

    void configure(long version) {
        mStore.put("op", "config", Site.CONFIGURATION.formatted(version));
    }

    <T extends AutoCloseable> T with(T part) {
        mParts.add(part);
        return part;
    }

    Engine engine(String id, String service, int slots) throws IOException {
        Engine engine = with(new Engine(id, service, slots, mStore, mRecord));
        engine.register("ready");
        return engine;
    }

    Gateway gateway(String name) throws IOException {
        return gateway(name, mStore.address());
    }

    Gateway gateway(String name, String store) throws IOException {
        String host = "127.0.0." + (2 + mGateways++);
        Gateway gateway =
                with(new Gateway(name, host, "caxias-a", mPort, store, mFolder, mRecord));
        gateway.start();
        return gateway;
    }

    /** Sends a request on a connection of its own; returns its status, or 0 without an answer. */
    int ask(Gateway gateway, String head, int timeoutMillis) {
        try (Socket socket = gateway.connect(timeoutMillis)) {
            Http.write(socket.getOutputStream(), head);
            return Http.read(socket.getInputStream(), true).status();
        } catch (IOException failure) {
            return 0;
        }
    }

    @Override
    public void close() {
        for (AutoCloseable part : mParts.reversed()) {
            try {
                part.close();
            } catch (Exception failure) {
                mRecord.line("not closed: " + failure);
            }
        }
        try (var files = Files.walk(mFolder)) {
            if (System.getenv("KEEP_LOGS") == null) {
                files.sorted(java.util.Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            } else {
                mRecord.line("logs in " + mFolder);
            }
        } catch (IOException failure) {
            mRecord.line("folder not removed: " + failure);
        }
        mRecord.close();
    }
}
