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
 * Contexts for mutual TLS between instances. A certificate signed by the authority is sufficient;
 * the address is not verified, because a replaced instance has a new one.
 *
 * @param server context for inbound connections
 * @param client context for outbound connections
 */
public record PeerEncryption(SslContext server, SslContext client) {
    /**
     * Reads the files named in the settings.
     *
     * @param values validated settings
     * @return the contexts; empty if no certificate is set
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
     * Reads the certificate of an instance and that of the authority.
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
