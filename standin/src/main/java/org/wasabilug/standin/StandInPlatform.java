package org.wasabilug.standin;

import java.net.URI;
import java.util.List;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.Row;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.standin.internal.http.LoopbackServer;
import org.wasabilug.standin.internal.http.OwnedSystem;
import org.wasabilug.standin.internal.platform.PlatformHandler;

/** Table service, object store and instance list in memory, over HTTP. */
public final class StandInPlatform implements AutoCloseable {
    private final OwnedSystem mSystem;
    private final PlatformHandler mHandler;
    private final LoopbackServer mServer;

    private StandInPlatform(Builder builder) {
        mSystem = OwnedSystem.orOwn(builder.mActorSystem, "standin-platform");
        mHandler = new PlatformHandler(mSystem.get());
        mServer =
                LoopbackServer.start(mSystem.get(), builder.mHost, builder.mPort, mHandler::handle);
    }

    /**
     * Starts building.
     *
     * @return a builder that listens on loopback at a port of the system's choice
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Address of the services.
     *
     * @return http with IP number and port
     */
    public URI baseUri() {
        return mServer.baseUri();
    }

    /**
     * Replaces all faults.
     *
     * @param faults faults from now on
     */
    public void setFaults(PlatformFaults faults) {
        mHandler.faults().set(faults);
    }

    /**
     * The faults of the moment.
     *
     * @return the faults as they were set
     */
    public PlatformFaults faults() {
        return mHandler.faults().current();
    }

    /**
     * Lists an instance or replaces the one of the same name.
     *
     * @param instance the entry
     */
    public void listInstance(ListedInstance instance) {
        mHandler.instances().put(instance, System.nanoTime());
    }

    /**
     * Takes an instance off the list.
     *
     * @param name name of the instance
     */
    public void unlistInstance(String name) {
        mHandler.instances().remove(name, System.nanoTime());
    }

    /**
     * Reads rows past all faults.
     *
     * @param read which rows
     * @return those that exist
     */
    public List<Row> readTable(TableRead read) {
        return mHandler.table().read(read);
    }

    /**
     * Commits a transaction past all faults.
     *
     * @param transaction the transaction
     * @return committed or rejected
     */
    public CommitOutcome commitTable(TableTransaction transaction) {
        return mHandler.table().commit(transaction);
    }

    /**
     * Reads that were asked for over HTTP.
     *
     * @return requests since the start
     */
    public long reads() {
        return mHandler.reads();
    }

    /**
     * Writes that were asked for over HTTP.
     *
     * @return requests since the start
     */
    public long writes() {
        return mHandler.writes();
    }

    @Override
    public void close() {
        mServer.close();
        mSystem.close();
    }

    /** Builds and starts a {@link StandInPlatform}. */
    public static final class Builder {
        private ClassicActorSystemProvider mActorSystem;
        private String mHost = "127.0.0.1";
        private int mPort = 0;

        private Builder() {}

        /**
         * Sets the actor system; without one the stand-in runs and ends its own.
         *
         * @param value classic or typed actor system
         * @return this builder
         */
        public Builder actorSystem(ClassicActorSystemProvider value) {
            mActorSystem = value;
            return this;
        }

        /**
         * Sets the IP number to listen on.
         *
         * @param value IP number
         * @return this builder
         */
        public Builder host(String value) {
            mHost = value;
            return this;
        }

        /**
         * Sets the port to listen on.
         *
         * @param value port; 0 lets the system choose
         * @return this builder
         */
        public Builder port(int value) {
            mPort = value;
            return this;
        }

        /**
         * Starts the stand-in; returns when it listens.
         *
         * @return the running stand-in
         */
        public StandInPlatform start() {
            return new StandInPlatform(this);
        }
    }
}
