package org.wasabilug.internal.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.FencingBehaviour;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;

/** Reads the complete state of one object from JSON. */
final class StateReader {
    /** Interned because thousands of workspaces use the same few sets. */
    private static final Interner<Set<PipelineName>> PIPELINES = Interners.newWeakInterner();

    private static final Interner<Set<PoolName>> SERVICES = Interners.newWeakInterner();

    private final ObjectKey mKey;
    private final FieldReader mFields;
    private final List<Finding> mFindings;

    private StateReader(ObjectKey key, FieldReader fields, List<Finding> findings) {
        mKey = key;
        mFields = fields;
        mFindings = findings;
    }

    /** Reads a state; returns empty if it added any findings. */
    static Optional<ConfigurationObject> read(
            ObjectKey key, JsonNode node, String place, List<Finding> findings) {
        int before = findings.size();
        FieldReader fields = new FieldReader(node, place, findings);
        ConfigurationObject state = new StateReader(key, fields, findings).readByKind();
        if (node.isObject()) {
            fields.reportUnknownFields();
        }
        return findings.size() == before ? Optional.of(state) : Optional.empty();
    }

    private ConfigurationObject readByKind() {
        return switch (mKey.kind()) {
            case FAILURE_DOMAIN -> readFailureDomain();
            case POOL -> readPool();
            case ENDPOINT -> readEndpoint();
            case PIPELINE -> readPipeline();
            case WORKSPACE -> readWorkspace();
            case OPERATOR -> new OperatorAccount(new OperatorName(mKey.name()), readKey());
            case ENGINE_TARGET -> readEngineTarget();
        };
    }

    private FailureDomain readFailureDomain() {
        FailureDomain.Builder builder =
                FailureDomain.builder().name(new FailureDomainName(mKey.name()));
        mFields.text("region").ifPresent(builder::region);
        mFields.constant("state", DomainState.class).ifPresent(builder::state);
        return builder.build();
    }

    private Pool readPool() {
        Pool.Builder builder = Pool.builder().name(new PoolName(mKey.name()));
        mFields.text("requestPath").ifPresent(builder::requestPath);
        mFields.constant("protocol", CallProtocol.class).ifPresent(builder::protocol);
        mFields.bool("repeatable").ifPresent(builder::repeatable);
        mFields.bool("exposed").ifPresent(builder::exposed);
        return builder.build();
    }

    private Endpoint readEndpoint() {
        Endpoint.Builder builder = Endpoint.builder().name(new EndpointName(mKey.name()));
        mFields.name("pool", PoolName::new).ifPresent(builder::pool);
        mFields.name("failureDomain", FailureDomainName::new).ifPresent(builder::failureDomain);
        mFields.text("address").flatMap(this::readAddress).ifPresent(builder::address);
        mFields.integer("coldLimit").ifPresent(builder::coldLimit);
        mFields.integer("concurrencyLimit").ifPresent(builder::concurrencyLimit);
        mFields.constant("fencing", FencingBehaviour.class).ifPresent(builder::fencing);
        mFields.bool("leaving").ifPresent(builder::leaving);
        return builder.build();
    }

    private Optional<URI> readAddress(String text) {
        try {
            return Optional.of(new URI(text));
        } catch (URISyntaxException malformed) {
            mFields.report(
                    mFields.placeOf("address"), "is not a valid URI: " + malformed.getMessage());
            return Optional.empty();
        }
    }

    private Pipeline readPipeline() {
        Pipeline.Builder builder = Pipeline.builder().name(new PipelineName(mKey.name()));
        builder.stages(mFields.list("stages", this::readStage));
        mFields.longInteger("deadlineMilliseconds")
                .map(Duration::ofMillis)
                .ifPresent(builder::deadline);
        return builder.build();
    }

    private Optional<Stage> readStage(JsonNode node, String place) {
        int before = mFindings.size();
        FieldReader fields = mFields.element(node, place);
        Optional<StageName> name = fields.name("name", StageName::new);
        Optional<PoolName> pool = fields.name("pool", PoolName::new);
        Optional<Boolean> repeatable = fields.bool("repeatable");
        List<StageName> after = fields.names("after", StageName::new);
        fields.reportUnknownFields();
        return mFindings.size() == before
                ? Optional.of(new Stage(name.get(), pool.get(), repeatable.get(), after))
                : Optional.empty();
    }

    private Workspace readWorkspace() {
        Workspace.Builder builder = Workspace.builder().name(new WorkspaceName(mKey.name()));
        builder.key(readKey());
        builder.pipelines(
                PIPELINES.intern(Set.copyOf(mFields.names("pipelines", PipelineName::new))));
        builder.services(SERVICES.intern(Set.copyOf(mFields.names("services", PoolName::new))));
        mFields.decimal("requestsPerSecond").ifPresent(builder::requestsPerSecond);
        mFields.integer("concurrentRequests").ifPresent(builder::concurrentRequests);
        mFields.integer("shareWeight").ifPresent(builder::shareWeight);
        return builder.build();
    }

    private SaltedHash readKey() {
        FieldReader fields = mFields.object("key");
        Optional<String> salt = fields.text("salt");
        Optional<String> hash = fields.text("hash");
        fields.reportUnknownFields();
        return new SaltedHash(salt.orElse(""), hash.orElse(""));
    }

    private EngineTarget readEngineTarget() {
        EngineTarget.Builder builder =
                EngineTarget.builder().endpoint(new EndpointName(mKey.name()));
        mFields.text("model").ifPresent(builder::model);
        mFields.text("version").ifPresent(builder::version);
        builder.adapters(
                Set.copyOf(
                        mFields.list(
                                "adapters",
                                (node, place) -> {
                                    if (!node.isTextual()) {
                                        mFields.report(place, "must be a string");
                                    }
                                    return Optional.ofNullable(node.textValue());
                                })));
        mFields.text("role").ifPresent(builder::role);
        return builder.build();
    }
}
