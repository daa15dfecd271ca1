package org.wasabilug.internal.ticket;

import com.google.common.net.InetAddresses;
import java.net.URI;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.Pool;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;

/** Validates one object's state on its own, without regard to other objects. */
final class StateRules {
    private static final Pattern SALT = Pattern.compile("([0-9a-f]{2}){8,64}");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern REQUEST_PATH = Pattern.compile("/[A-Za-z0-9._~/-]{0,199}");
    private static final int MAXIMUM_PORT = 65_535;

    private final String mPlace;
    private final FindingList mFindings;

    private StateRules(String place, FindingList findings) {
        mPlace = place;
        mFindings = findings;
    }

    static void check(ConfigurationObject state, String place, FindingList findings) {
        new StateRules(place, findings).checkByKind(state);
    }

    private void checkByKind(ConfigurationObject state) {
        switch (state) {
            case FailureDomain domain -> mFindings.text(place("region"), domain.region());
            case Pool pool -> checkRequestPath(pool.requestPath());
            case Endpoint endpoint -> checkEndpoint(endpoint);
            case Pipeline pipeline -> checkPipeline(pipeline);
            case Workspace workspace -> checkWorkspace(workspace);
            case OperatorAccount account -> checkKey(account.key());
            case EngineTarget target -> checkEngineTarget(target);
        }
    }

    private String place(String field) {
        return mPlace + "." + field;
    }

    private void checkRequestPath(String requestPath) {
        if (!REQUEST_PATH.matcher(requestPath).matches()) {
            mFindings.add(
                    place("requestPath"),
                    "must be a path that starts with a slash and has no query");
        }
    }

    private void checkEndpoint(Endpoint endpoint) {
        checkAddress(endpoint.address());
        mFindings.range(
                place("concurrencyLimit"),
                endpoint.concurrencyLimit(),
                1,
                TicketLimits.MAXIMUM_CONCURRENCY);
        if (endpoint.coldLimit() < 1 || endpoint.coldLimit() > endpoint.concurrencyLimit()) {
            mFindings.add(place("coldLimit"), "must be from 1 to the concurrencyLimit");
        }
    }

    private void checkAddress(URI address) {
        boolean base =
                !address.isOpaque()
                        && address.getRawQuery() == null
                        && address.getRawFragment() == null
                        && address.getRawUserInfo() == null
                        && (address.getRawPath().isEmpty() || address.getRawPath().equals("/"));
        if (!"http".equals(address.getScheme()) || !base || !hasNumericHostAndPort(address)) {
            mFindings.add(
                    place("address"),
                    "must be an http URI with an IP address and a port, such as"
                            + " http://10.0.0.7:8000");
        }
    }

    private static boolean hasNumericHostAndPort(URI address) {
        return address.getHost() != null
                && InetAddresses.isUriInetAddress(address.getHost())
                && address.getPort() >= 1
                && address.getPort() <= MAXIMUM_PORT;
    }

    private void checkPipeline(Pipeline pipeline) {
        int count = pipeline.stages().size();
        if (count < 1 || count > TicketLimits.MAXIMUM_STAGES) {
            mFindings.add(
                    place("stages"), "must have 1 to " + TicketLimits.MAXIMUM_STAGES + " stages");
        }
        mFindings.range(
                place("deadlineMilliseconds"),
                pipeline.deadline().toMillis(),
                TicketLimits.MINIMUM_DEADLINE.toMillis(),
                TicketLimits.MAXIMUM_DEADLINE.toMillis());
        Set<StageName> earlier = new HashSet<>();
        for (int index = 0; index < count; index++) {
            checkStage(pipeline.stages().get(index), "stages[" + index + "]", earlier);
        }
    }

    private void checkStage(Stage stage, String field, Set<StageName> earlier) {
        for (int index = 0; index < stage.after().size(); index++) {
            StageName name = stage.after().get(index);
            String place = place(field + ".after[" + index + "]");
            if (!earlier.contains(name)) {
                mFindings.add(place, "must name an earlier stage; '" + name + "' is not one");
            } else if (stage.after().indexOf(name) < index) {
                mFindings.add(place, "repeats '" + name + "'");
            }
        }
        if (!earlier.add(stage.name())) {
            mFindings.add(place(field + ".name"), "must be unique within the pipeline");
        }
    }

    private void checkWorkspace(Workspace workspace) {
        checkKey(workspace.key());
        double perSecond = workspace.requestsPerSecond();
        if (!(perSecond > 0 && perSecond <= TicketLimits.MAXIMUM_REQUESTS_PER_SECOND)) {
            mFindings.add(place("requestsPerSecond"), "must be greater than 0 and at most 1000000");
        }
        mFindings.range(
                place("concurrentRequests"),
                workspace.concurrentRequests(),
                1,
                TicketLimits.MAXIMUM_CONCURRENCY);
        mFindings.range(
                place("shareWeight"),
                workspace.shareWeight(),
                1,
                TicketLimits.MAXIMUM_SHARE_WEIGHT);
    }

    private void checkKey(SaltedHash key) {
        if (!SALT.matcher(key.salt()).matches()) {
            mFindings.add(
                    place("key.salt"), "must be 8 to 64 bytes in lower-case hexadecimal digits");
        }
        if (!HASH.matcher(key.hash()).matches()) {
            mFindings.add(
                    place("key.hash"), "must be a SHA-256 in 64 lower-case hexadecimal digits");
        }
    }

    private void checkEngineTarget(EngineTarget target) {
        mFindings.text(place("model"), target.model());
        mFindings.text(place("version"), target.version());
        mFindings.text(place("role"), target.role());
        target.adapters().stream()
                .sorted()
                .forEach(adapter -> mFindings.text(place("adapters"), adapter));
    }
}
