package org.wasabilug.standin.internal.platform;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.standin.PlatformFaults;
import org.wasabilug.standin.internal.http.HttpResponses;
import org.wasabilug.tableservice.wire.PlatformJson;
import org.wasabilug.tableservice.wire.PlatformPaths;

/** Handles the platform's HTTP requests. */
public final class PlatformHandler {
    /** Path to read (GET) and replace (PUT) the faults. */
    public static final String FAULTS_PATH = "/faults";

    private final TableStore mTable = new TableStore();
    private final Map<String, String> mObjects = new ConcurrentHashMap<>();
    private final InstanceListHistory mInstances = new InstanceListHistory();
    private final RateLimit mWriteRate = new RateLimit();
    private final RateLimit mReadRate = new RateLimit();
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();
    private final FaultState mFaults = new FaultState();
    private final ClassicActorSystemProvider mActorSystem;

    /**
     * Creates the handler of an empty platform.
     *
     * @param actorSystem runs the streams that read request bodies
     */
    public PlatformHandler(ClassicActorSystemProvider actorSystem) {
        mActorSystem = actorSystem;
    }

    /** Returns the faults, which can be changed at any time. */
    public FaultState faults() {
        return mFaults;
    }

    /** Returns the instance list. */
    public InstanceListHistory instances() {
        return mInstances;
    }

    /** Returns the tables. */
    public TableStore table() {
        return mTable;
    }

    /**
     * Returns the number of read requests since the start, including rejected ones; those ignored
     * as silent do not count.
     */
    public long reads() {
        return mReads.get();
    }

    /**
     * Returns the number of write requests since the start, including rejected ones; those ignored
     * as silent do not count.
     */
    public long writes() {
        return mWrites.get();
    }

    /** Handles a request, subject to the faults. */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        if (request.getUri().path().equals(FAULTS_PATH)) {
            return handleFaults(request);
        }
        PlatformFaults faults = mFaults.current();
        String instance =
                request.getHeader(PlatformPaths.INSTANCE_HEADER).map(HttpHeader::value).orElse("");
        if (faults.silent() || faults.cutOffInstances().contains(instance)) {
            return HttpResponses.neverCompleting();
        }
        boolean write = isWrite(request);
        if (!admit(faults, write)) {
            return completed(HttpResponses.empty(HttpResponses.TOO_MANY_REQUESTS));
        }
        return faults.down()
                ? completed(HttpResponses.empty(HttpResponses.UNAVAILABLE))
                : HttpResponses.withBody(request, mActorSystem, body -> serve(request, body))
                        .thenCompose(this::delayedResponse);
    }

    private boolean admit(PlatformFaults faults, boolean write) {
        long nowNanos = System.nanoTime();
        (write ? mWrites : mReads).incrementAndGet();
        return write
                ? mWriteRate.tryAcquire(faults.writesPerSecond(), nowNanos)
                : mReadRate.tryAcquire(faults.readsPerSecond(), nowNanos);
    }

    private static boolean isWrite(HttpRequest request) {
        return request.getUri().path().equals(PlatformPaths.TRANSACTIONS)
                || request.method().equals(HttpMethods.PUT)
                || request.method().equals(HttpMethods.DELETE);
    }

    private CompletionStage<HttpResponse> serve(HttpRequest request, String body) {
        return switch (request.getUri().path()) {
            case PlatformPaths.TRANSACTIONS -> serveTransaction(body);
            case PlatformPaths.READS -> completed(serveRead(body));
            case PlatformPaths.OBJECTS -> completed(serveObject(request, body));
            case PlatformPaths.INSTANCES -> completed(serveInstances(request, body));
            default -> completed(HttpResponses.empty(HttpResponses.NOT_FOUND));
        };
    }

    private CompletionStage<HttpResponse> serveTransaction(String body) {
        Optional<TableTransaction> transaction = PlatformJson.read(body, TableTransaction.class);
        if (transaction.isEmpty()) {
            return completed(HttpResponses.empty(HttpResponses.BAD_REQUEST));
        }
        long delay = mFaults.current().commitDelayMilliseconds();
        return afterDelay(delay, () -> commit(transaction.get()));
    }

    private HttpResponse commit(TableTransaction transaction) {
        CommitOutcome outcome = mTable.commit(transaction);
        if (mFaults.consumeLostAnswer()) {
            return HttpResponses.brokenConnection();
        }
        int status =
                outcome instanceof CommitOutcome.Committed
                        ? HttpResponses.OK
                        : HttpResponses.CONFLICT;
        return HttpResponses.json(status, PlatformJson.write(outcome));
    }

    private HttpResponse serveRead(String body) {
        return PlatformJson.read(body, TableRead.class)
                .map(mTable::read)
                .map(ReadOutcome.Rows::new)
                .map(rows -> HttpResponses.json(HttpResponses.OK, PlatformJson.write(rows)))
                .orElseGet(() -> HttpResponses.empty(HttpResponses.BAD_REQUEST));
    }

    private HttpResponse serveObject(HttpRequest request, String body) {
        String name = request.getUri().query().get(PlatformPaths.OBJECT_NAME_PARAMETER).orElse("");
        if (request.method().equals(HttpMethods.PUT)) {
            mObjects.put(name, body);
            return HttpResponses.empty(HttpResponses.OK);
        }
        return Optional.ofNullable(mObjects.get(name))
                .map(text -> HttpResponse.create().withEntity(text))
                .orElseGet(() -> HttpResponses.empty(HttpResponses.NOT_FOUND));
    }

    private HttpResponse serveInstances(HttpRequest request, String body) {
        if (request.method().equals(HttpMethods.PUT)) {
            return PlatformJson.read(body, ListedInstance.class)
                    .map(this::listInstance)
                    .orElseGet(() -> HttpResponses.empty(HttpResponses.BAD_REQUEST));
        }
        long lagNanos = TimeUnit.MILLISECONDS.toNanos(mFaults.current().listLagMilliseconds());
        ListOutcome.Listed listed =
                new ListOutcome.Listed(mInstances.at(System.nanoTime() - lagNanos));
        return HttpResponses.json(HttpResponses.OK, PlatformJson.write(listed));
    }

    private HttpResponse listInstance(ListedInstance instance) {
        mInstances.put(instance, System.nanoTime());
        return HttpResponses.empty(HttpResponses.OK);
    }

    private CompletionStage<HttpResponse> handleFaults(HttpRequest request) {
        if (!request.method().equals(HttpMethods.PUT)) {
            return completed(
                    HttpResponses.json(HttpResponses.OK, PlatformJson.write(mFaults.current())));
        }
        return HttpResponses.withBody(
                request,
                mActorSystem,
                body ->
                        completed(
                                PlatformJson.read(body, PlatformFaults.class)
                                        .map(this::replaceFaults)
                                        .orElseGet(
                                                () ->
                                                        HttpResponses.empty(
                                                                HttpResponses.BAD_REQUEST))));
    }

    private HttpResponse replaceFaults(PlatformFaults faults) {
        mFaults.set(faults);
        return HttpResponses.json(HttpResponses.OK, PlatformJson.write(faults));
    }

    private CompletionStage<HttpResponse> delayedResponse(HttpResponse response) {
        return afterDelay(mFaults.current().answerDelayMilliseconds(), () -> response);
    }

    private static CompletionStage<HttpResponse> afterDelay(
            long milliseconds, Supplier<HttpResponse> response) {
        if (milliseconds <= 0) {
            return completed(response.get());
        }
        Executor executor = CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(response, executor);
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
