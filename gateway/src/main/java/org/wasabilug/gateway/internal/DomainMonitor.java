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

/** Follows which failure domains are cut off from this instance, and probes these. */
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

    /**
     * Gives the judgement.
     *
     * @return the reachability of domains
     */
    public DomainReachability reachability() {
        return mReachability;
    }

    /**
     * Notes that an endpoint gave no sign of life.
     *
     * @param endpoint the endpoint
     */
    public void noResponse(EndpointState endpoint) {
        String domain = endpoint.registration().failureDomain();
        if (mReachability.recordNoResponse(domain)) {
            mLog.process(LogLine.of("domain-cut-off").with("domain", domain));
            mUnreachableListener.accept(domain);
        }
    }

    /**
     * Notes that an endpoint gave a sign of life.
     *
     * @param endpoint the endpoint
     */
    public void responded(EndpointState endpoint) {
        String domain = endpoint.registration().failureDomain();
        if (mReachability.recordResponse(domain)) {
            mLog.process(LogLine.of("domain-reached-again").with("domain", domain));
        }
    }

    /** Tries the domains that seem to be cut off; to be called several times a second. */
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
                                responded(endpoint.get());
                            }
                        });
            }
        }
    }

    /**
     * Sets who is told when a failure domain seems to be cut off.
     *
     * @param onUnreachable gets the domain
     */
    public void onUnreachable(Consumer<String> listener) {
        mUnreachableListener = listener;
    }
}
