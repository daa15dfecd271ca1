package org.wasabilug.entry.internal.security;

import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Name and key of the Authorization header.
 *
 * @param name text before the last dot
 * @param key text after the last dot
 */
public record Credential(String name, String key) {
    private static final String SCHEME = "Bearer ";
    private static final String OPERATOR_PREFIX = "operator.";

    /**
     * Reads the credential of a request.
     *
     * @param request request with the header
     * @return the credential; empty if it is missing or malformed
     */
    public static Optional<Credential> of(HttpRequest request) {
        return request.getHeader("Authorization").map(HttpHeader::value).flatMap(Credential::parse);
    }

    /**
     * Parses the value of an Authorization header.
     *
     * @return the credential; empty if the value is malformed
     */
    static Optional<Credential> parse(String header) {
        if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String token = header.substring(SCHEME.length()).trim();
        int dot = token.lastIndexOf('.');
        if (dot <= 0 || dot == token.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new Credential(token.substring(0, dot), token.substring(dot + 1)));
    }

    /**
     * Returns the name of the operator.
     *
     * @return the name; empty if the credential is not that of an operator
     */
    public Optional<String> operatorName() {
        return name.startsWith(OPERATOR_PREFIX)
                ? Optional.of(name.substring(OPERATOR_PREFIX.length()))
                : Optional.empty();
    }

    /** Omits the key, so that it is not logged. */
    @Override
    public String toString() {
        return name;
    }
}
