package org.wasabilug.entry.internal.security;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.port.VersionedObject;

class AuthenticatorTest {
    private final OperatorAccount mAccount =
            OperatorAccount.builder().name(new OperatorName("anne")).key(hashOf("account")).build();
    private final Configuration mConfiguration =
            Configuration.empty()
                    .merge(
                            List.of(
                                    new VersionedObject(
                                            mAccount.objectKey(), 1, Optional.of(mAccount))));
    private final Authenticator mAuthenticator =
            new Authenticator(() -> mConfiguration, Optional.of(hashOf("bootstrap")));

    private static SaltedHash hashOf(String key) {
        return SaltedHash.of(key, new SecureRandom());
    }

    private Optional<OperatorName> operatorOf(String token) {
        return mAuthenticator.operator(
                HttpRequest.create()
                        .addHeader(RawHeader.create("Authorization", "Bearer " + token)));
    }

    @Test
    void acceptsKeyOfAccount() {
        assertThat(operatorOf("operator.anne.account")).contains(new OperatorName("anne"));
    }

    @Test
    void refusesBootstrapKeyUnderNameWithAccount() {
        assertThat(operatorOf("operator.anne.bootstrap")).isEmpty();
    }

    @Test
    void acceptsBootstrapKeyUnderNameWithoutAccount() {
        assertThat(operatorOf("operator.paul.bootstrap")).contains(new OperatorName("paul"));
    }

    @Test
    void refusesNameWithoutAccountIfNoBootstrapKeyIsSet() {
        Authenticator accountsOnly = new Authenticator(() -> mConfiguration, Optional.empty());

        assertThat(
                        accountsOnly.operator(
                                HttpRequest.create()
                                        .addHeader(
                                                RawHeader.create(
                                                        "Authorization",
                                                        "Bearer operator.paul.bootstrap"))))
                .isEmpty();
    }
}
