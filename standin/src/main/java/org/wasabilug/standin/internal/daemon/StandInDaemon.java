package org.wasabilug.standin.internal.daemon;

import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.pekko.actor.ActorSystem;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;
import org.wasabilug.standin.StandInEndpoint;
import org.wasabilug.standin.StandInPlatform;
import org.wasabilug.standin.StandInSystem;
import org.wasabilug.standin.WordAnswer;
import org.wasabilug.standin.internal.settings.DaemonSettings;

/**
 * Runs a platform and endpoints in one process; the endpoints are entered in the platform's
 * instance list.
 */
public final class StandInDaemon implements AutoCloseable {
    private static final Logger LOGGER = LogManager.getLogger(StandInDaemon.class);

    private final ActorSystem mActorSystem = StandInSystem.start("wasabilug-standin");
    private final List<StandInEndpoint> mEndpoints = new ArrayList<>();
    private final DaemonSettings mSettings;
    private final StandInPlatform mPlatform;

    /**
     * Starts the platform and all endpoints.
     *
     * @param settings checked settings
     */
    public StandInDaemon(DaemonSettings settings) {
        mSettings = settings;
        mPlatform =
                StandInPlatform.builder()
                        .actorSystem(mActorSystem)
                        .host(settings.host())
                        .port(settings.platformPort())
                        .start();
        LOGGER.info("platform {}", mPlatform.baseUri());
        settings.endpoints().forEach(this::startFailureDomain);
    }

    /** Returns the platform. */
    public StandInPlatform platform() {
        return mPlatform;
    }

    /** Returns the endpoints, in the order of the settings. */
    public List<StandInEndpoint> endpoints() {
        return List.copyOf(mEndpoints);
    }

    @Override
    public void close() {
        mEndpoints.forEach(StandInEndpoint::close);
        mPlatform.close();
        mActorSystem.terminate();
    }

    private void startFailureDomain(FailureDomainName failureDomain, int count) {
        for (int number = 1; number <= count; number++) {
            StandInEndpoint endpoint = startEndpoint(failureDomain + "-" + number);
            mEndpoints.add(endpoint);
            mPlatform.listInstance(listEntry(endpoint, failureDomain));
            LOGGER.info("endpoint {} {} {}", endpoint.name(), failureDomain, endpoint.baseUri());
        }
    }

    private StandInEndpoint startEndpoint(String name) {
        int firstPort = mSettings.firstEndpointPort();
        return StandInEndpoint.builder()
                .actorSystem(mActorSystem)
                .host(mSettings.host())
                .port(firstPort == 0 ? 0 : firstPort + mEndpoints.size())
                .name(name)
                .protocol(mSettings.protocol())
                .behaviour(new WordAnswer(mSettings.words()))
                .coldLimit(mSettings.coldLimit())
                .concurrency(mSettings.concurrency())
                .coldStartTime(mSettings.coldStartTime())
                .timeToFirstToken(mSettings.timeToFirstToken())
                .timeBetweenTokens(mSettings.timeBetweenTokens())
                .startsCold(mSettings.startsCold())
                .fallsOver(mSettings.fallsOver())
                .start();
    }

    private static ListedInstance listEntry(
            StandInEndpoint endpoint, FailureDomainName failureDomain) {
        return new ListedInstance(
                endpoint.name(),
                ListedRole.ENDPOINT,
                failureDomain,
                endpoint.baseUri().getAuthority(),
                false);
    }
}
