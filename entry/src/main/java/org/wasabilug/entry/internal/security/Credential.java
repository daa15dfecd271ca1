package org.wasabilug.entry.internal.security;

import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Name and key that a request shows.
 *
 * @param name everything before the last dot
 * @param key everything after the last dot
 */
public record Credential(String name, String key) {
    private static final String SCHEME = "Bearer ";
    private static final String OPERATOR_PREFIX = "operator.";

    /**
     * Reads the credential of a request.
     *
     * @param request the request
     * @return the credential; empty where there is none of the right form
     */
    public static Optional<Credential> of(HttpRequest request) {
        return request.getHeader("Authorization").map(HttpHeader::value).flatMap(Credential::parse);
    }

    /**
     * Reads the value of an Authorization header.
     *
     * @param header the value
     * @return the credential; empty where it is not of the right form
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
     * The operator that the name stands for.
     *
     * @return the operator's name; empty where the name is not that of an operator
     */
    public Optional<String> operatorName() {
        return name.startsWith(OPERATOR_PREFIX)
                ? Optional.of(name.substring(OPERATOR_PREFIX.length()))
                : Optional.empty();
    }

    /** Leaves the key out. */
    @Override
    public String toString() {
        return name;
    }
}
