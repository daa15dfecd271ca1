package org.wasabilug.gateway.internal.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.store.TableEvents;
import org.wasabilug.gateway.protocol.StoreProtocol;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.gateway.protocol.UnreadableException;
import org.wasabilug.internal.serving.RouteTable;
import org.wasabilug.serving.ServingConfiguration;

/**
 * Activates newer configurations and applies which failure domains operators take out of service.
 */
public final class ConfigurationWatch implements TableEvents {
    /** Time in which operators write again what the store has lost. */
    private static final long REWRITE_GRACE_MILLIS = 5_000;

    private final GatewayState mState;
    private final Set<String> mOutOfServiceDomains = new TreeSet<>();

    /** Domains whose rows the store has lost, which stay out of service for a while. */
    private final Set<String> mMissingDomains = new TreeSet<>();

    private long mGraceUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a watch.
     *
     * @param state state of this process
     */
    public ConfigurationWatch(GatewayState state) {
        mState = state;
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        Set<String> before = Set.copyOf(mOutOfServiceDomains);
        mOutOfServiceDomains.clear();
        rows.forEach(this::apply);
        if (mState.nowMillis() < mGraceUntilMillis) {
            before.stream()
                    .filter(domain -> !mOutOfServiceDomains.contains(domain))
                    .forEach(mMissingDomains::add);
        }
        publishDomains();
    }

    /**
     * Keeps failure domains out of service for a while though their rows are missing, as the store
     * came back from an older copy.
     */
    public void storeCameBackOlder() {
        mGraceUntilMillis = mState.nowMillis() + REWRITE_GRACE_MILLIS;
    }

    /**
     * Takes back domains whose rows were not written again; to be called several times a second.
     */
    public void removeExpired() {
        if (!mMissingDomains.isEmpty() && mState.nowMillis() >= mGraceUntilMillis) {
            mMissingDomains.forEach(domain -> logDomain(domain, true));
            mMissingDomains.clear();
            publishDomains();
        }
    }

    @Override
    public void changed(List<StoredRow> rows) {
        rows.forEach(this::apply);
        publishDomains();
    }

    private void apply(StoredRow row) {
        StoreProtocol store = mState.protocol().store();
        Optional<String> domain = store.readOutOfServiceDomain(row);
        if (domain.isPresent()) {
            applyDomain(domain.get(), row.removed());
        } else if (!row.removed()) {
            try {
                store.readConfiguration(row).ifPresent(this::activate);
            } catch (UnreadableException unreadable) {
                mState.log()
                        .fault(
                                LogLine.of("configuration-unreadable").with("key", row.key()),
                                unreadable);
            }
        }
    }

    private void applyDomain(String domain, boolean removed) {
        boolean missing = mMissingDomains.remove(domain);
        boolean changed =
                removed
                        ? mOutOfServiceDomains.remove(domain) || missing
                        : mOutOfServiceDomains.add(domain) && !missing;
        if (changed) {
            logDomain(domain, removed);
        }
    }

    private void logDomain(String domain, boolean back) {
        mState.log()
                .process(LogLine.of(back ? "domain-back" : "domain-out").with("domain", domain));
    }

    private void publishDomains() {
        Set<String> domains = new TreeSet<>(mOutOfServiceDomains);
        domains.addAll(mMissingDomains);
        mState.directory().setDomainsOutOfService(domains);
    }

    /** Activates a configuration unless the active one is at least as new. */
    void activate(ServingConfiguration configuration) {
        long activeVersion = mState.configurationVersion().orElse(-1L);
        if (configuration.version() <= activeVersion) {
            return;
        }
        mState.routes(new RouteTable(configuration));
        mState.log()
                .process(
                        LogLine.of("configuration-in-force")
                                .with("version", configuration.version())
                                .with("before", activeVersion)
                                .with("routes", configuration.routes().size())
                                .with("services", configuration.services().size())
                                .with("ranks", ranks(configuration))
                                .with("workspaces", configuration.workspaces().size()));
    }

    private static String ranks(ServingConfiguration configuration) {
        return configuration.workspaces().stream()
                .map(workspace -> Integer.toString(workspace.rank()))
                .collect(Collectors.joining(","));
    }

    @Override
    public void availabilityChanged(boolean available, String reason) {
        mState.log()
                .process(
                        LogLine.of(available ? "store-regained" : "store-lost")
                                .with("table", mState.protocol().store().configurationTable())
                                .with("reason", reason));
    }

    @Override
    public void rowsNotApplied(Throwable cause) {
        mState.log()
                .fault(
                        LogLine.of("rows-not-applied")
                                .with("table", mState.protocol().store().configurationTable()),
                        cause);
    }
}
