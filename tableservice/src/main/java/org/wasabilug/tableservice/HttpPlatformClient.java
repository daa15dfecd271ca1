package org.wasabilug.tableservice;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.tableservice.internal.http.CircuitBreaker;
import org.wasabilug.tableservice.internal.http.ExchangeResult;
import org.wasabilug.tableservice.internal.http.GuardedExchange;
import org.wasabilug.tableservice.internal.http.Outcomes;
import org.wasabilug.tableservice.internal.http.PlatformExchange;
import org.wasabilug.tableservice.internal.http.RequestBudget;
import org.wasabilug.tableservice.wire.PlatformJson;
import org.wasabilug.tableservice.wire.PlatformPaths;

/** Client of the platform's services over HTTP with JSON. */
public final class HttpPlatformClient implements PlatformClient {
    private final GuardedExchange mExchanges;

    private HttpPlatformClient(Builder builder) {
        mExchanges =
                new GuardedExchange(
                        new PlatformExchange(
                                builder.mActorSystem,
                                builder.mBaseUri,
                                builder.mInstanceName,
                                builder.mTimeout,
                                builder.mMaximumBodyBytes),
                        new RequestBudget(builder.mRequestsPerSecond, builder.mMaximumInFlight),
                        new CircuitBreaker(
                                builder.mFailuresToOpen, builder.mOpenDuration.toNanos()));
    }

    /**
     * Returns a builder with default limits; actor system and base address are required.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public CompletionStage<CommitOutcome> commit(TableTransaction transaction) {
        return send(HttpRequest.POST(PlatformPaths.TRANSACTIONS)
                        .withEntity(ContentTypes.APPLICATION_JSON, PlatformJson.write(transaction)))
                .thenApply(Outcomes::ofCommit);
    }

    @Override
    public CompletionStage<ReadOutcome> read(TableRead read) {
        return send(HttpRequest.POST(PlatformPaths.READS)
                        .withEntity(ContentTypes.APPLICATION_JSON, PlatformJson.write(read)))
                .thenApply(Outcomes::ofRead);
    }

    @Override
    public CompletionStage<ObjectOutcome> readObject(String name) {
        return send(HttpRequest.GET(objectPath(name))).thenApply(Outcomes::ofObjectRead);
    }

    @Override
    public CompletionStage<ObjectOutcome> writeObject(String name, String text) {
        return send(HttpRequest.create(objectPath(name))
                        .withMethod(HttpMethods.PUT)
                        .withEntity(text))
                .thenApply(Outcomes::ofObjectWrite);
    }

    @Override
    public CompletionStage<ListOutcome> listInstances() {
        return send(HttpRequest.GET(PlatformPaths.INSTANCES)).thenApply(Outcomes::ofList);
    }

    @Override
    public void close() {
        mExchanges.close();
    }

    private CompletionStage<ExchangeResult> send(HttpRequest request) {
        return mExchanges.send(request);
    }

    private static String objectPath(String name) {
        return PlatformPaths.OBJECTS
                + "?"
                + PlatformPaths.OBJECT_NAME_PARAMETER
                + "="
                + URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    /** Builds a {@link HttpPlatformClient}. */
    public static final class Builder {
        private ClassicActorSystemProvider mActorSystem;
        private URI mBaseUri;
        private String mInstanceName = "";
        private Duration mTimeout = Duration.ofSeconds(2);
        private long mMaximumBodyBytes = 16L << 20;
        private int mRequestsPerSecond = 200;
        private int mMaximumInFlight = 64;
        private int mFailuresToOpen = 5;
        private Duration mOpenDuration = Duration.ofSeconds(1);

        private Builder() {}

        /**
         * Sets the actor system that runs the exchanges. The client does not terminate it.
         *
         * @param value classic or typed actor system
         * @return this builder
         */
        public Builder actorSystem(ClassicActorSystemProvider value) {
            mActorSystem = value;
            return this;
        }

        /**
         * Sets the address of the platform.
         *
         * @param value http address with IP address and port
         * @return this builder
         */
        public Builder baseUri(URI value) {
            mBaseUri = value;
            return this;
        }

        /**
         * Sets the instance name sent with each request.
         *
         * @param value name of this instance; empty to send none
         * @return this builder
         */
        public Builder instanceName(String value) {
            mInstanceName = value;
            return this;
        }

        /**
         * Sets the timeout of one exchange.
         *
         * @param value positive duration
         * @return this builder
         */
        public Builder timeout(Duration value) {
            mTimeout = value;
            return this;
        }

        /**
         * Sets the maximum size of an answer.
         *
         * @param value size in bytes
         * @return this builder
         */
        public Builder maximumBodyBytes(long value) {
            mMaximumBodyBytes = value;
            return this;
        }

        /**
         * Sets the maximum rate of requests.
         *
         * @param value requests per second
         * @return this builder
         */
        public Builder requestsPerSecond(int value) {
            mRequestsPerSecond = value;
            return this;
        }

        /**
         * Sets the maximum number of requests in flight.
         *
         * @param value number of requests
         * @return this builder
         */
        public Builder maximumInFlight(int value) {
            mMaximumInFlight = value;
            return this;
        }

        /**
         * Sets the number of consecutive failures that open the circuit breaker.
         *
         * @param value number of failures
         * @return this builder
         */
        public Builder failuresToOpen(int value) {
            mFailuresToOpen = value;
            return this;
        }

        /**
         * Sets how long the circuit breaker stays open before it allows a trial request.
         *
         * @param value positive duration
         * @return this builder
         */
        public Builder openDuration(Duration value) {
            mOpenDuration = value;
            return this;
        }

        /**
         * Builds the client.
         *
         * @return open client
         */
        public HttpPlatformClient build() {
            return new HttpPlatformClient(this);
        }
    }
}
