package org.wasabilug.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.wasabilug.entry.EntryDaemon;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.error.Reporter;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;

/** Entry point of the demonstration; the exit code is 0 if every step succeeded. */
public final class DemoMain {
    private static final String MOVED_DOMAIN = "brest";
    private static final int STEP_SECONDS = 4;
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int STATUS_OK = 200;
    private static final int LAST_SUCCESS_STATUS = 299;

    private final PrintStream mOut;
    private final List<EntryDaemon> mDaemons = new ArrayList<>();

    private DemoMain(PrintStream out) {
        mOut = out;
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        new DemoMain(System.out).run();
    }

    private void run() {
        try (DemoStandIns standIns = new DemoStandIns();
                DemoClient client = new DemoClient()) {
            mOut.println(
                    "Stand-ins: the platform and " + standIns.endpoints().size() + " endpoints.");
            startInstances(standIns);
            configure(standIns, client);
            showOneRequest(client);
            moveDomainDuringTraffic(standIns, client);
            stopGracefully();
        } finally {
            mDaemons.forEach(EntryDaemon::close);
        }
    }

    private void startInstances(DemoStandIns standIns) {
        for (String domain : DemoStandIns.DOMAINS) {
            String name = "entry-" + domain;
            EntryDaemon daemon =
                    EntryDaemon.builder()
                            .core(settings(name, domain))
                            .platform(standIns.platform().baseUri())
                            .instance(
                                    EntryInstance.builder()
                                            .operatorBootstrapKey(
                                                    DemoKeys.hash(DemoKeys.OPERATOR_KEY)))
                            .start();
            mDaemons.add(daemon);
            standIns.registerInstance(name, domain, daemon.peerAddress());
            mOut.println("Instance " + name + " serves callers at " + daemon.addresses().callers());
        }
    }

    private static InstanceSettings settings(String name, String domain) {
        return InstanceSettings.builder()
                .name(new InstanceName(name))
                .failureDomain(new FailureDomainName(domain))
                .incarnation(System.currentTimeMillis())
                .seed(name.hashCode())
                .build();
    }

    private void configure(DemoStandIns standIns, DemoClient client) {
        submit(client, DemoTickets.createAll(standIns.endpoints()), "create the configuration");
        for (EntryDaemon daemon : mDaemons) {
            await("ready", () -> client.get(operatorUri(daemon), "/ready").status() == STATUS_OK);
        }
    }

    private void submit(DemoClient client, String ticket, String purpose) {
        long startNanos = System.nanoTime();
        DemoClient.Response response =
                client.submitTicket(operatorUri(mDaemons.getFirst()), ticket);
        mOut.println(
                "Ticket to "
                        + purpose
                        + ": HTTP "
                        + response.status()
                        + " "
                        + response.body()
                        + " in "
                        + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
                        + " ms");
        if (response.status() > LAST_SUCCESS_STATUS) {
            throw Reporter.defect("the ticket to " + purpose + " was refused");
        }
    }

    private void showOneRequest(DemoClient client) {
        EntryDaemon first = mDaemons.getFirst();
        await(
                "warm",
                () -> client.submitRequest(callerUri(first), "warm up").status() == STATUS_OK);
        DemoClient.Response response =
                client.submitRequest(callerUri(first), "recovery at cold room 7");
        mOut.println("Answer: HTTP " + response.status() + " " + response.body().path("text"));
        String request = response.body().path("request").asText();
        JsonNode decisions =
                client.get(operatorUri(first), "/v1/requests/" + request + "/decisions").body();
        mOut.println("Decisions about each stage, with reasons:");
        decisions.path("decisions").forEach(each -> mOut.println("  " + each));
        mOut.println("Streamed answer:");
        DemoStream stream = new DemoStream();
        client.stream(callerUri(first), "leak check at the fishing port", stream::addLine);
        stream.print(mOut);
    }

    private void moveDomainDuringTraffic(DemoStandIns standIns, DemoClient client) {
        List<URI> instances = mDaemons.stream().map(DemoMain::callerUri).toList();
        try (DemoTraffic traffic = new DemoTraffic(client, instances)) {
            DemoTrafficReport report = new DemoTrafficReport(mOut, traffic, standIns);
            report.printEachSecond(
                    "Before the failure domain is taken out of service:", STEP_SECONDS);
            submit(
                    client,
                    DemoTickets.setDomainState(2, MOVED_DOMAIN, DomainState.TAKEN_OUT),
                    "take " + MOVED_DOMAIN + " out of service");
            report.printEachSecond("While " + MOVED_DOMAIN + " is out of service:", STEP_SECONDS);
            submit(
                    client,
                    DemoTickets.setDomainState(3, MOVED_DOMAIN, DomainState.IN_SERVICE),
                    "return " + MOVED_DOMAIN + " to service");
            report.printEachSecond("After its return to service:", STEP_SECONDS);
            traffic.stopAndAwait();
            mOut.println("Total: " + traffic.summary());
        }
    }

    private void stopGracefully() {
        CompletableFuture<?>[] stops =
                mDaemons.stream()
                        .map(daemon -> daemon.stop().toCompletableFuture())
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(stops).join();
        mOut.println("All instances have stopped; no request was interrupted.");
    }

    private static URI callerUri(EntryDaemon daemon) {
        return daemon.addresses().callers();
    }

    private static URI operatorUri(EntryDaemon daemon) {
        return daemon.addresses().operators();
    }

    private void await(String condition, BooleanSupplier isMet) {
        long endNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (!isMet.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw Reporter.defect("an instance did not become " + condition + " in time");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
