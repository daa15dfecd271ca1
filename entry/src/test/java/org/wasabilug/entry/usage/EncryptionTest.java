package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.internal.security.HttpEncryption;

class EncryptionTest {
    private static final Path CERTIFICATE =
            Path.of("src/test/resources/tls/loopback-certificate.pem");
    private static final Path PRIVATE_KEY =
            Path.of("src/test/resources/tls/loopback-private-key.pem");

    @Test
    void servesCallersOverTlsWithCertificateFromFiles() throws Exception {
        SSLContext encryption = HttpEncryption.read(CERTIFICATE, PRIVATE_KEY);

        try (EntryInstance instance =
                        FakeInstance.with(new FakeEndpoints(true)).encryption(encryption).build();
                HttpClient client = HttpClient.newBuilder().sslContext(trustingContext()).build()) {
            URI callers = instance.start().callers();
            HttpResponse<String> response =
                    client.send(
                            HttpRequest.newBuilder(callers.resolve("/v1/services/ledger/requests"))
                                    .header("Authorization", FakeInstance.FRIGOVAL)
                                    .POST(HttpRequest.BodyPublishers.ofString("{\"input\":\"x\"}"))
                                    .build(),
                            BodyHandlers.ofString());

            assertThat(callers.getScheme()).isEqualTo("https");
            assertThat(response.body()).contains("\"text\":\"service(x)\"");
        }
    }

    @Test
    void servesOperatorsOverTls() throws Exception {
        SSLContext encryption = HttpEncryption.read(CERTIFICATE, PRIVATE_KEY);

        try (EntryInstance instance =
                        FakeInstance.with(new FakeEndpoints(true))
                                .operatorsEncryption(encryption)
                                .build();
                HttpClient client = HttpClient.newBuilder().sslContext(trustingContext()).build()) {
            URI operators = instance.start().operators();
            HttpResponse<String> response =
                    client.send(
                            HttpRequest.newBuilder(operators.resolve("/live")).build(),
                            BodyHandlers.ofString());

            assertThat(operators.getScheme()).isEqualTo("https");
            assertThat(response.statusCode()).isEqualTo(200);
        }
    }

    private static SSLContext trustingContext() throws Exception {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        try (var input = Files.newInputStream(CERTIFICATE)) {
            store.setCertificateEntry(
                    "loopback", CertificateFactory.getInstance("X.509").generateCertificate(input));
        }
        TrustManagerFactory managers =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        managers.init(store);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, managers.getTrustManagers(), null);
        return context;
    }
}
