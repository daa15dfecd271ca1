package org.wasabilug.entry.fake;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.EntryInstanceBuilder;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.VersionedObject;

/** Instances with a fake core and fake clients, configured for two workspaces. */
public final class FakeInstance {
    /** Credential of the workspace frigoval. */
    public static final String FRIGOVAL = "Bearer frigoval.secret-1";

    /** Credential of the workspace serrano. */
    public static final String SERRANO = "Bearer serrano.secret-2";

    /** Credential of an operator without an account. */
    public static final String OPERATOR = "Bearer operator.anne.bootstrap-secret";

    private static final String SALT = "0a0b0c0d";

    private FakeInstance() {}

    /** Returns a builder of an instance that calls the given endpoints. */
    public static EntryInstanceBuilder with(FakeEndpoints endpoints) {
        return EntryInstance.builder()
                .core(new FakeCore(configuration()))
                .platform(new FakePlatform())
                .endpoints(endpoints)
                .operatorBootstrapKey(hashOf("bootstrap-secret"));
    }

    /** Returns the salted hash of a key. */
    public static SaltedHash hashOf(String key) {
        byte[] salt = {0x0a, 0x0b, 0x0c, 0x0d};
        return new SaltedHash(
                SALT,
                Hashing.sha256()
                        .newHasher()
                        .putBytes(salt)
                        .putString(key, StandardCharsets.UTF_8)
                        .hash()
                        .toString());
    }

    private static Configuration configuration() {
        List<ConfigurationObject> objects =
                List.of(
                        Pool.builder().name(new PoolName("ledger")).exposed(true).build(),
                        Pool.builder().name(new PoolName("engines")).build(),
                        pipeline(),
                        workspace("frigoval", "secret-1", Set.of(new PoolName("ledger"))),
                        workspace("serrano", "secret-2", Set.of()));
        return Configuration.empty()
                .merge(
                        objects.stream()
                                .map(
                                        each ->
                                                new VersionedObject(
                                                        each.objectKey(), 1, Optional.of(each)))
                                .toList());
    }

    private static Pipeline pipeline() {
        StageName encode = new StageName("encode");
        PoolName engines = new PoolName("engines");
        return Pipeline.builder()
                .name(new PipelineName("certificates"))
                .stages(
                        List.of(
                                new Stage(encode, engines, true, List.of()),
                                new Stage(
                                        new StageName("generate"), engines, true, List.of(encode))))
                .build();
    }

    private static Workspace workspace(String name, String key, Set<PoolName> services) {
        return Workspace.builder()
                .name(new WorkspaceName(name))
                .key(hashOf(key))
                .pipelines(services.isEmpty() ? Set.of() : Set.of(new PipelineName("certificates")))
                .services(services)
                .build();
    }
}
