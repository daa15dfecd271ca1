package org.wasabilug.gateway.internal;

import java.util.Optional;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.endpoint.EndpointConnections;
import org.wasabilug.gateway.internal.endpoint.ProbeResult;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.DomainReachability;
import org.wasabilug.internal.serving.EndpointDirectory;
import org.wasabilug.internal.serving.EndpointState;

/** Tracks which failure domains are unreachable from this instance, and probes those. */
public final class DomainMonitor {
    private final DomainReachability mReachability = new DomainReachability();
    private final EndpointDirectory mDirectory;
    private final EndpointConnections mConnections;
    private final DecisionLog mLog;
    private Consumer<String> mUnreachableListener = domain -> {};

    DomainMonitor(EndpointDirectory directory, EndpointConnections connections, DecisionLog log) {
        mDirectory = directory;
        mConnections = connections;
        mLog = log;
    }

    /** Returns the reachability of the failure domains. */
    public DomainReachability reachability() {
        return mReachability;
    }

    /**
     * Records that an endpoint did not respond.
     *
     * @param endpoint the endpoint
     */
    public void recordNoResponse(EndpointState endpoint) {
        String domain = endpoint.registration().failureDomain();
        if (mReachability.recordNoResponse(domain)) {
            mLog.process(LogLine.of("domain-cut-off").with("domain", domain));
            mUnreachableListener.accept(domain);
        }
    }

    /**
     * Records that an endpoint responded.
     *
     * @param endpoint the endpoint
     */
    public void recordResponse(EndpointState endpoint) {
        String domain = endpoint.registration().failureDomain();
        if (mReachability.recordResponse(domain)) {
            mLog.process(LogLine.of("domain-reached-again").with("domain", domain));
        }
    }

    /** Probes the domains that appear unreachable; to be called several times a second. */
    public void probe() {
        for (String domain : mReachability.unreachableDomains()) {
            Optional<EndpointState> endpoint = mDirectory.findAnyInDomain(domain);
            if (endpoint.isEmpty()) {
                mReachability.recordResponse(domain);
            } else {
                mConnections.probe(
                        endpoint.get().registration(),
                        result -> {
                            if (result != ProbeResult.SILENT) {
                                recordResponse(endpoint.get());
                            }
                        });
            }
        }
    }

    /**
     * Sets the listener for failure domains that appear unreachable.
     *
     * @param listener receives the name of the domain
     */
    public void onUnreachable(Consumer<String> listener) {
        mUnreachableListener = listener;
    }
}
