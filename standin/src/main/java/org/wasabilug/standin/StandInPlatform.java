package org.wasabilug.standin;

import java.net.URI;
import java.util.List;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.Row;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.standin.internal.http.ActorSystemHolder;
import org.wasabilug.standin.internal.http.StandInServer;
import org.wasabilug.standin.internal.platform.PlatformHandler;

/**
 * Simulated platform over HTTP: table service, object store and instance list in memory, with
 * injectable faults.
 */
public final class StandInPlatform implements AutoCloseable {
    private final ActorSystemHolder mSystem;
    private final PlatformHandler mHandler;
    private final StandInServer mServer;

    private StandInPlatform(Builder builder) {
        mSystem = ActorSystemHolder.borrowOrStart(builder.mActorSystem, "standin-platform");
        mHandler = new PlatformHandler(mSystem.get());
        mServer =
                StandInServer.start(mSystem.get(), builder.mHost, builder.mPort, mHandler::handle);
    }

    /** Returns a builder that listens on loopback, at a port chosen by the operating system. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the address of the services: http with IP address and port. */
    public URI baseUri() {
        return mServer.baseUri();
    }

    /** Replaces all faults. */
    public void setFaults(PlatformFaults faults) {
        mHandler.faults().set(faults);
    }

    /** Returns the faults as they were last set. */
    public PlatformFaults faults() {
        return mHandler.faults().current();
    }

    /** Adds an instance to the list, replacing an entry of the same name. */
    public void listInstance(ListedInstance instance) {
        mHandler.instances().put(instance, System.nanoTime());
    }

    /** Removes the instance of this name from the list. */
    public void unlistInstance(String name) {
        mHandler.instances().remove(name, System.nanoTime());
    }

    /** Returns the existing rows among those requested, bypassing all faults. */
    public List<Row> readTable(TableRead read) {
        return mHandler.table().read(read);
    }

    /** Commits a transaction, bypassing all faults. */
    public CommitOutcome commitTable(TableTransaction transaction) {
        return mHandler.table().commit(transaction);
    }

    /**
     * Returns the number of read requests received over HTTP since the start, including rejected
     * ones; those ignored as silent do not count.
     */
    public long reads() {
        return mHandler.reads();
    }

    /**
     * Returns the number of write requests received over HTTP since the start, including rejected
     * ones; those ignored as silent do not count.
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
         * Sets the classic or typed actor system; without one the stand-in starts its own and
         * terminates it on close.
         */
        public Builder actorSystem(ClassicActorSystemProvider value) {
            mActorSystem = value;
            return this;
        }

        /** Sets the IP address to listen on. */
        public Builder host(String value) {
            mHost = value;
            return this;
        }

        /** Sets the port to listen on; 0 lets the operating system choose one. */
        public Builder port(int value) {
            mPort = value;
            return this;
        }

        /** Starts the stand-in and returns once it is listening. */
        public StandInPlatform start() {
            return new StandInPlatform(this);
        }
    }
}
