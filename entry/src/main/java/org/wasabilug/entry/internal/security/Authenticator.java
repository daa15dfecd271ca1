package org.wasabilug.entry.internal.security;

import java.util.Optional;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.NameRules;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;

/** Identifies the sender of a request by its credential. */
public final class Authenticator {
    private final Supplier<Configuration> mConfiguration;
    private final Optional<SaltedHash> mBootstrapKey;

    /**
     * Creates the authenticator.
     *
     * @param configuration returns the active configuration
     * @param bootstrapKey hash of the key for operators without an account; empty to accept only
     *     operators with an account
     */
    public Authenticator(Supplier<Configuration> configuration, Optional<SaltedHash> bootstrapKey) {
        mConfiguration = configuration;
        mBootstrapKey = bootstrapKey;
    }

    /**
     * Returns the workspace that sent a request.
     *
     * @param request request to authenticate
     * @return the workspace; empty if the credential is missing or wrong
     */
    public Optional<Workspace> workspace(HttpRequest request) {
        return Credential.of(request).flatMap(this::workspace);
    }

    private Optional<Workspace> workspace(Credential credential) {
        Optional<Workspace> workspace =
                Optional.of(credential.name())
                        .filter(NameRules::isValid)
                        .map(WorkspaceName::new)
                        .flatMap(mConfiguration.get()::workspace);
        boolean matches = KeyCheck.matches(credential.key(), workspace.map(Workspace::key));
        return workspace.filter(authenticated -> matches);
    }

    /**
     * Returns the operator who sent a request. A name without an account is authenticated by the
     * bootstrap key.
     *
     * @param request request to authenticate
     * @return name of the operator; empty if the credential is missing or wrong
     */
    public Optional<OperatorName> operator(HttpRequest request) {
        return Credential.of(request).flatMap(this::operator);
    }

    private Optional<OperatorName> operator(Credential credential) {
        Optional<OperatorName> name =
                credential.operatorName().filter(NameRules::isValid).map(OperatorName::new);
        Optional<SaltedHash> expected =
                name.flatMap(mConfiguration.get()::operator)
                        .map(OperatorAccount::key)
                        .or(() -> mBootstrapKey);
        boolean matches = KeyCheck.matches(credential.key(), expected);
        return name.filter(authenticated -> matches);
    }
}
