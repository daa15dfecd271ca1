package org.wasabilug.entry.internal.security;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Optional;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.wasabilug.entry.internal.http.EntryReporter;
import org.wasabilug.entry.internal.settings.EntrySettings;
import org.wasabilug.entry.internal.settings.Setting;
import org.wasabilug.entry.internal.settings.SettingValues;

/** Creates the TLS contexts of the HTTP interfaces from PEM files. */
public final class HttpEncryption {
    private static final String ALIAS = "callers";

    private HttpEncryption() {}

    /**
     * Reads the certificate for callers.
     *
     * @param values validated settings
     * @return the context; empty if no certificate is set
     */
    public static Optional<SSLContext> forCallers(SettingValues values) {
        return fromFiles(values, EntrySettings.CERTIFICATE_FILE, EntrySettings.PRIVATE_KEY_FILE);
    }

    /**
     * Reads the certificate for operators.
     *
     * @param values validated settings
     * @return the context; empty if no certificate is set
     */
    public static Optional<SSLContext> forOperators(SettingValues values) {
        return fromFiles(
                values,
                EntrySettings.OPERATORS_CERTIFICATE_FILE,
                EntrySettings.OPERATORS_PRIVATE_KEY_FILE);
    }

    private static Optional<SSLContext> fromFiles(
            SettingValues values, Setting certificateFile, Setting keyFile) {
        return values.file(certificateFile)
                .map(
                        certificate ->
                                read(
                                        certificate,
                                        values.file(keyFile)
                                                .orElseThrow(
                                                        () ->
                                                                EntryReporter.fileSettingMissing(
                                                                        keyFile.name()))));
    }

    /**
     * Reads a certificate chain and its private key.
     *
     * @param certificateFile PEM certificate chain
     * @param privateKeyFile PEM private key in PKCS#8
     * @return the context
     */
    public static SSLContext read(Path certificateFile, Path privateKeyFile) {
        try {
            Certificate[] chain = readChain(certificateFile);
            PrivateKey key = readKey(privateKeyFile, chain[0].getPublicKey().getAlgorithm());
            return contextOf(key, chain);
        } catch (IOException | GeneralSecurityException | IllegalArgumentException exception) {
            throw EntryReporter.unreadableCertificate(certificateFile, privateKeyFile, exception);
        }
    }

    private static Certificate[] readChain(Path file) throws IOException, GeneralSecurityException {
        try (InputStream input = Files.newInputStream(file)) {
            return CertificateFactory.getInstance("X.509")
                    .generateCertificates(input)
                    .toArray(Certificate[]::new);
        }
    }

    private static PrivateKey readKey(Path file, String algorithm)
            throws IOException, GeneralSecurityException {
        String base64 =
                Files.readString(file).replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
        return KeyFactory.getInstance(algorithm)
                .generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64)));
    }

    private static SSLContext contextOf(PrivateKey key, Certificate[] chain)
            throws IOException, GeneralSecurityException {
        char[] noPassword = {};
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, noPassword);
        store.setKeyEntry(ALIAS, key, noPassword, chain);
        KeyManagerFactory managers =
                KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        managers.init(store, noPassword);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(managers.getKeyManagers(), null, null);
        return context;
    }
}
