package org.wasabilug.entry.internal.settings;

import java.util.List;
import org.wasabilug.entry.internal.settings.Setting.Kind;

/** The settings of an entry instance. Help text and documentation are generated from them. */
public final class EntrySettings {
    /** Name of the instance. */
    public static final Setting NAME = required("name", Kind.NAME, "name of this instance");

    /** Failure domain of the instance. */
    public static final Setting FAILURE_DOMAIN =
            required("failure-domain", Kind.NAME, "failure domain that holds this instance");

    /** Listen address of the callers' interface. */
    public static final Setting CALLERS_ADDRESS =
            optional(
                    "callers-address",
                    Kind.ADDRESS,
                    "127.0.0.1:8080",
                    "listen address for callers");

    /** Listen address of the operators' interface. */
    public static final Setting OPERATORS_ADDRESS =
            optional(
                    "operators-address",
                    Kind.ADDRESS,
                    "127.0.0.1:8081",
                    "listen address for operators, health checks and metrics");

    /** Listen address for other instances. */
    public static final Setting PEERS_ADDRESS =
            optional(
                    "peers-address",
                    Kind.ADDRESS,
                    "127.0.0.1:8082",
                    "listen address for other instances");

    /** Addresses of other instances, used while the platform's list is unavailable. */
    public static final Setting PEER_SEEDS =
            optional(
                    "peer-seeds",
                    Kind.ADDRESSES,
                    "",
                    "instances to try while the platform's list can't be read");

    /** Base address of the platform's services. */
    public static final Setting PLATFORM =
            required("platform", Kind.URI, "base address of the platform's services");

    /** Key of operators without an account. */
    public static final Setting OPERATOR_KEY =
            optional(
                    "bootstrap-operator-key",
                    Kind.SECRET,
                    "",
                    "key for operators without an account; if none is set, an account is required");

    /** Certificate chain of the callers' interface. */
    public static final Setting CERTIFICATE_FILE =
            optional(
                    "callers-certificate-file",
                    Kind.FILE,
                    "",
                    "PEM certificate chain; enables TLS for callers");

    /** Private key of the callers' interface. */
    public static final Setting PRIVATE_KEY_FILE =
            optional(
                    "callers-private-key-file",
                    Kind.FILE,
                    "",
                    "PEM private key (PKCS#8) of the certificate");

    /** Certificate chain of the operators' interface. */
    public static final Setting OPERATORS_CERTIFICATE_FILE =
            optional(
                    "operators-certificate-file",
                    Kind.FILE,
                    "",
                    "PEM certificate chain; enables TLS for operators");

    /** Private key of the operators' interface. */
    public static final Setting OPERATORS_PRIVATE_KEY_FILE =
            optional(
                    "operators-private-key-file",
                    Kind.FILE,
                    "",
                    "PEM private key (PKCS#8) of the certificate for operators");

    /** Certificate chain for connections between instances. */
    public static final Setting PEERS_CERTIFICATE_FILE =
            optional(
                    "peers-certificate-file",
                    Kind.FILE,
                    "",
                    "PEM certificate chain; enables mutual TLS between instances");

    /** Private key for connections between instances. */
    public static final Setting PEERS_PRIVATE_KEY_FILE =
            optional(
                    "peers-private-key-file",
                    Kind.FILE,
                    "",
                    "PEM private key (PKCS#8) of the certificate for instances");

    /** Certificate of the authority that signs the certificates of instances. */
    public static final Setting PEERS_AUTHORITY_FILE =
            optional(
                    "peers-authority-file",
                    Kind.FILE,
                    "",
                    "PEM certificate of the authority that signs every instance's certificate");

    /** Maximum size of a caller's request body. */
    public static final Setting MAXIMUM_BODY =
            number(
                    "maximum-body",
                    "bytes",
                    1_024,
                    67_108_864,
                    1_048_576,
                    "maximum size of a request body");

    /** Maximum size of a ticket. */
    public static final Setting MAXIMUM_TICKET =
            number(
                    "maximum-ticket",
                    "bytes",
                    1_024,
                    268_435_456,
                    16_777_216,
                    "maximum size of a ticket");

    /** Maximum size of one header value. */
    public static final Setting MAXIMUM_HEADER =
            number(
                    "maximum-header",
                    "bytes",
                    256,
                    65_536,
                    8_192,
                    "maximum size of one header value");

    /** Maximum number of connections of each HTTP interface. */
    public static final Setting MAXIMUM_CONNECTIONS =
            number(
                    "maximum-connections",
                    "connections",
                    1,
                    65_536,
                    4_096,
                    "maximum number of connections of each interface");

    /** Maximum number of requests in flight. */
    public static final Setting MAXIMUM_STREAMS =
            number(
                    "maximum-streams",
                    "requests",
                    1,
                    65_536,
                    4_096,
                    "maximum number of requests in flight");

    /** Maximum deadline of a request. */
    public static final Setting MAXIMUM_DEADLINE =
            number(
                    "maximum-deadline",
                    "milliseconds",
                    1,
                    86_400_000,
                    600_000,
                    "maximum deadline that a caller may request");

    /** Answer text buffered for a slow caller before the endpoints of its request are paused. */
    public static final Setting CALLER_BUFFER =
            number(
                    "caller-buffer",
                    "characters",
                    1_024,
                    16_777_216,
                    65_536,
                    "answer text buffered for a slow caller before its endpoints are paused");

    /** Maximum length of a buffered answer, and of the text queued for one caller. */
    public static final Setting MAXIMUM_ANSWER =
            number(
                    "maximum-answer",
                    "characters",
                    1_024,
                    268_435_456,
                    4_194_304,
                    "maximum length of a whole answer and of the text buffered for one caller");

    /** Number of earlier requests with an idempotency key whose state can be queried. */
    public static final Setting REMEMBERED_REQUESTS =
            number(
                    "remembered-requests",
                    "requests",
                    1,
                    1_048_576,
                    4_096,
                    "latest requests with an idempotency key whose state can be queried");

    /** Number of decisions kept for explanations. */
    public static final Setting REMEMBERED_DECISIONS =
            number(
                    "remembered-decisions",
                    "decisions",
                    1,
                    1_048_576,
                    16_384,
                    "latest decisions that explanations can show");

    /** Time for which a stopping instance reports not ready before it refuses new requests. */
    public static final Setting NOT_READY_PERIOD =
            number(
                    "not-ready-period",
                    "milliseconds",
                    0,
                    600_000,
                    5_000,
                    "how long a stopping instance reports not ready before it refuses requests");

    private static final List<Setting> ALL =
            List.of(
                    NAME,
                    FAILURE_DOMAIN,
                    CALLERS_ADDRESS,
                    OPERATORS_ADDRESS,
                    PEERS_ADDRESS,
                    PEER_SEEDS,
                    PLATFORM,
                    OPERATOR_KEY,
                    CERTIFICATE_FILE,
                    PRIVATE_KEY_FILE,
                    OPERATORS_CERTIFICATE_FILE,
                    OPERATORS_PRIVATE_KEY_FILE,
                    PEERS_CERTIFICATE_FILE,
                    PEERS_PRIVATE_KEY_FILE,
                    PEERS_AUTHORITY_FILE,
                    MAXIMUM_BODY,
                    MAXIMUM_TICKET,
                    MAXIMUM_HEADER,
                    MAXIMUM_CONNECTIONS,
                    MAXIMUM_STREAMS,
                    MAXIMUM_DEADLINE,
                    CALLER_BUFFER,
                    MAXIMUM_ANSWER,
                    REMEMBERED_REQUESTS,
                    REMEMBERED_DECISIONS,
                    NOT_READY_PERIOD);

    private EntrySettings() {}

    /**
     * Returns all settings, in the order of the documentation.
     *
     * @return immutable list
     */
    public static List<Setting> all() {
        return ALL;
    }

    private static Setting required(String name, Setting.Kind kind, String description) {
        return new Setting(name, kind, "", 0, 0, "", true, description);
    }

    private static Setting optional(
            String name, Setting.Kind kind, String defaultValue, String description) {
        return new Setting(name, kind, "", 0, 0, defaultValue, false, description);
    }

    private static Setting number(
            String name,
            String unit,
            long minimum,
            long maximum,
            long defaultValue,
            String description) {
        return new Setting(
                name,
                Kind.NUMBER,
                unit,
                minimum,
                maximum,
                Long.toString(defaultValue),
                false,
                description);
    }
}
