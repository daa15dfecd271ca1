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
import org.wasabilug.standin.internal.http.Answers;
import org.wasabilug.tableservice.wire.PlatformJson;
import org.wasabilug.tableservice.wire.PlatformPaths;

/** Answers the platform's HTTP requests. */
public final class PlatformHandler {
    /** Shows and switches faults. */
    public static final String FAULTS_PATH = "/faults";

    private final TableStore mTable = new TableStore();
    private final Map<String, String> mObjects = new ConcurrentHashMap<>();
    private final LaggingList mInstances = new LaggingList();
    private final RateLimit mWriteRate = new RateLimit();
    private final RateLimit mReadRate = new RateLimit();
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();
    private final FaultSwitch mFaults = new FaultSwitch();
    private final ClassicActorSystemProvider mActorSystem;

    /**
     * Creates the handler of an empty platform.
     *
     * @param actorSystem reads bodies
     */
    public PlatformHandler(ClassicActorSystemProvider actorSystem) {
        mActorSystem = actorSystem;
    }

    /**
     * The fault switch.
     *
     * @return the switch
     */
    public FaultSwitch faults() {
        return mFaults;
    }

    /**
     * The instance list.
     *
     * @return the list
     */
    public LaggingList instances() {
        return mInstances;
    }

    /**
     * The tables.
     *
     * @return the store
     */
    public TableStore table() {
        return mTable;
    }

    /**
     * Reads that were asked for.
     *
     * @return requests since the start
     */
    public long reads() {
        return mReads.get();
    }

    /**
     * Writes that were asked for.
     *
     * @return requests since the start
     */
    public long writes() {
        return mWrites.get();
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @return the answer
     */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        if (request.getUri().path().equals(FAULTS_PATH)) {
            return handleFaults(request);
        }
        PlatformFaults faults = mFaults.current();
        String instance =
                request.getHeader(PlatformPaths.INSTANCE_HEADER).map(HttpHeader::value).orElse("");
        if (faults.silent() || faults.cutOffInstances().contains(instance)) {
            return Answers.never();
        }
        boolean write = isWrite(request);
        if (!admit(faults, write)) {
            return completed(Answers.empty(Answers.TOO_MANY_REQUESTS));
        }
        return faults.down()
                ? completed(Answers.empty(Answers.UNAVAILABLE))
                : Answers.withBody(request, mActorSystem, body -> serve(request, body))
                        .thenCompose(this::delayed);
    }

    private boolean admit(PlatformFaults faults, boolean write) {
        long nowNanos = System.nanoTime();
        (write ? mWrites : mReads).incrementAndGet();
        return write
                ? mWriteRate.tryTake(faults.writesPerSecond(), nowNanos)
                : mReadRate.tryTake(faults.readsPerSecond(), nowNanos);
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
            default -> completed(Answers.empty(Answers.NOT_FOUND));
        };
    }

    private CompletionStage<HttpResponse> serveTransaction(String body) {
        Optional<TableTransaction> transaction = PlatformJson.read(body, TableTransaction.class);
        if (transaction.isEmpty()) {
            return completed(Answers.empty(Answers.BAD_REQUEST));
        }
        long delay = mFaults.current().commitDelayMilliseconds();
        return after(delay, () -> commit(transaction.get()));
    }

    private HttpResponse commit(TableTransaction transaction) {
        CommitOutcome outcome = mTable.commit(transaction);
        if (mFaults.takeLostAnswer()) {
            return Answers.broken();
        }
        int status = outcome instanceof CommitOutcome.Committed ? Answers.OK : Answers.CONFLICT;
        return Answers.json(status, PlatformJson.write(outcome));
    }

    private HttpResponse serveRead(String body) {
        return PlatformJson.read(body, TableRead.class)
                .map(mTable::read)
                .map(ReadOutcome.Rows::new)
                .map(rows -> Answers.json(Answers.OK, PlatformJson.write(rows)))
                .orElseGet(() -> Answers.empty(Answers.BAD_REQUEST));
    }

    private HttpResponse serveObject(HttpRequest request, String body) {
        String name = request.getUri().query().get(PlatformPaths.OBJECT_NAME_PARAMETER).orElse("");
        if (request.method().equals(HttpMethods.PUT)) {
            mObjects.put(name, body);
            return Answers.empty(Answers.OK);
        }
        return Optional.ofNullable(mObjects.get(name))
                .map(text -> HttpResponse.create().withEntity(text))
                .orElseGet(() -> Answers.empty(Answers.NOT_FOUND));
    }

    private HttpResponse serveInstances(HttpRequest request, String body) {
        if (request.method().equals(HttpMethods.PUT)) {
            return PlatformJson.read(body, ListedInstance.class)
                    .map(this::list)
                    .orElseGet(() -> Answers.empty(Answers.BAD_REQUEST));
        }
        long lagNanos = TimeUnit.MILLISECONDS.toNanos(mFaults.current().listLagMilliseconds());
        ListOutcome.Listed listed =
                new ListOutcome.Listed(mInstances.at(System.nanoTime() - lagNanos));
        return Answers.json(Answers.OK, PlatformJson.write(listed));
    }

    private HttpResponse list(ListedInstance instance) {
        mInstances.put(instance, System.nanoTime());
        return Answers.empty(Answers.OK);
    }

    private CompletionStage<HttpResponse> handleFaults(HttpRequest request) {
        if (!request.method().equals(HttpMethods.PUT)) {
            return completed(Answers.json(Answers.OK, PlatformJson.write(mFaults.current())));
        }
        return Answers.withBody(
                request,
                mActorSystem,
                body ->
                        completed(
                                PlatformJson.read(body, PlatformFaults.class)
                                        .map(this::switchTo)
                                        .orElseGet(() -> Answers.empty(Answers.BAD_REQUEST))));
    }

    private HttpResponse switchTo(PlatformFaults faults) {
        mFaults.set(faults);
        return Answers.json(Answers.OK, PlatformJson.write(faults));
    }

    private CompletionStage<HttpResponse> delayed(HttpResponse response) {
        return after(mFaults.current().answerDelayMilliseconds(), () -> response);
    }

    private static CompletionStage<HttpResponse> after(
            long milliseconds, Supplier<HttpResponse> answer) {
        if (milliseconds <= 0) {
            return completed(answer.get());
        }
        Executor later = CompletableFuture.delayedExecutor(milliseconds, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(answer, later);
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
