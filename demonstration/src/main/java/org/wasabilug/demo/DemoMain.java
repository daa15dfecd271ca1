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

/** Runs the demonstration and ends with exit code 0 where every step succeeded. */
public final class DemoMain {
    private static final String MOVED_DOMAIN = "brest";
    private static final int STEP_SECONDS = 4;
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 299;

    private final PrintStream mOut;
    private final List<EntryDaemon> mDaemons = new ArrayList<>();

    private DemoMain(PrintStream out) {
        mOut = out;
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments none are read
     */
    public static void main(String[] arguments) {
        new DemoMain(System.out).run();
    }

    private void run() {
        try (DemoStandIns standIns = new DemoStandIns();
                DemoClient client = new DemoClient()) {
            mOut.println("Stand-ins: platform and " + standIns.endpoints().size() + " endpoints.");
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
            standIns.list(name, domain, daemon.peerAddress());
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
        submit(client, DemoTickets.everything(standIns.endpoints()), "create everything");
        for (EntryDaemon daemon : mDaemons) {
            await("ready", () -> client.get(operators(daemon), "/ready").status() == STATUS_OK);
        }
    }

    private void submit(DemoClient client, String ticket, String purpose) {
        long began = System.nanoTime();
        DemoClient.Answer answer = client.submitTicket(operators(mDaemons.getFirst()), ticket);
        mOut.println(
                "Ticket to "
                        + purpose
                        + ": HTTP "
                        + answer.status()
                        + " "
                        + answer.body()
                        + " in "
                        + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)
                        + " ms");
        if (answer.status() > STATUS_ACCEPTED) {
            throw Reporter.defect("the ticket to " + purpose + " was refused");
        }
    }

    private void showOneRequest(DemoClient client) {
        EntryDaemon first = mDaemons.getFirst();
        await("warm", () -> client.ask(callers(first), "warm up").status() == STATUS_OK);
        DemoClient.Answer answer = client.ask(callers(first), "recovery at cold room 7");
        mOut.println("Answer: HTTP " + answer.status() + " " + answer.body().path("text"));
        String request = answer.body().path("request").asText();
        JsonNode decisions =
                client.get(operators(first), "/v1/requests/" + request + "/decisions").body();
        mOut.println("Where each stage ran and why:");
        decisions.path("decisions").forEach(each -> mOut.println("  " + each));
        mOut.println("Streamed answer:");
        DemoStream stream = new DemoStream();
        client.stream(callers(first), "leak check at the fishing port", stream::line);
        stream.print(mOut);
    }

    private void moveDomainDuringTraffic(DemoStandIns standIns, DemoClient client) {
        List<URI> instances = mDaemons.stream().map(DemoMain::callers).toList();
        try (DemoTraffic traffic = new DemoTraffic(client, instances)) {
            DemoService service = new DemoService(mOut, traffic, standIns);
            service.show("Before the move:", STEP_SECONDS);
            submit(
                    client,
                    DemoTickets.move(2, MOVED_DOMAIN, DomainState.TAKEN_OUT),
                    "take " + MOVED_DOMAIN + " out");
            service.show("While " + MOVED_DOMAIN + " is out:", STEP_SECONDS);
            submit(
                    client,
                    DemoTickets.move(3, MOVED_DOMAIN, DomainState.IN_SERVICE),
                    "bring " + MOVED_DOMAIN + " back");
            service.show("After its return:", STEP_SECONDS);
            traffic.finish();
            mOut.println("Altogether: " + traffic.summary());
        }
    }

    private void stopGracefully() {
        CompletableFuture<?>[] stops =
                mDaemons.stream()
                        .map(daemon -> daemon.stop().toCompletableFuture())
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(stops).join();
        mOut.println("All instances have stopped; no request was cut.");
    }

    private static URI callers(EntryDaemon daemon) {
        return daemon.addresses().callers();
    }

    private static URI operators(EntryDaemon daemon) {
        return daemon.addresses().operators();
    }

    private void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + PATIENCE_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw Reporter.defect("an instance did not become " + what + " in time");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
