package org.wasabilug.entry.internal.security;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.wasabilug.entry.internal.http.EntryReporter;
import org.wasabilug.entry.internal.settings.EntrySettings;
import org.wasabilug.entry.internal.settings.Setting;
import org.wasabilug.entry.internal.settings.SettingValues;

/**
 * Contexts of mutual TLS between instances. An instance is trusted for its authority; the address
 * that it is reached at stands in no certificate, as replaced instances change theirs.
 *
 * @param server context of connections that others open
 * @param client context of connections that this instance opens
 */
public record PeerEncryption(SslContext server, SslContext client) {
    /**
     * Reads the files that the settings name.
     *
     * @param values checked settings
     * @return the contexts; empty where the settings name no certificate
     */
    public static Optional<PeerEncryption> of(SettingValues values) {
        return values.file(EntrySettings.PEERS_CERTIFICATE_FILE)
                .map(
                        certificate ->
                                read(
                                        certificate,
                                        required(values, EntrySettings.PEERS_PRIVATE_KEY_FILE),
                                        required(values, EntrySettings.PEERS_AUTHORITY_FILE)));
    }

    private static Path required(SettingValues values, Setting setting) {
        return values.file(setting)
                .orElseThrow(() -> EntryReporter.fileSettingMissing(setting.name()));
    }

    /**
     * Reads the certificate of an instance and its authority's.
     *
     * @param certificate PEM certificate chain
     * @param privateKey PEM private key in PKCS#8
     * @param authority PEM certificate of the authority
     * @return the contexts
     */
    public static PeerEncryption read(Path certificate, Path privateKey, Path authority) {
        try {
            return new PeerEncryption(
                    SslContextBuilder.forServer(certificate.toFile(), privateKey.toFile())
                            .trustManager(authority.toFile())
                            .clientAuth(ClientAuth.REQUIRE)
                            .build(),
                    SslContextBuilder.forClient()
                            .keyManager(certificate.toFile(), privateKey.toFile())
                            .trustManager(authority.toFile())
                            .endpointIdentificationAlgorithm(null)
                            .build());
        } catch (SSLException | IllegalArgumentException exception) {
            throw EntryReporter.unreadableCertificate(certificate, privateKey, exception);
        }
    }
}
