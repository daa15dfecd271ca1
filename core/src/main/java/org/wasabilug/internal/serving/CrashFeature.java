package org.wasabilug.internal.serving;

import java.util.HashSet;
import java.util.Set;

/** A property of requests that may make endpoints crash. */
record CrashFeature(Kind kind, long fingerprint) {
    enum Kind {
        CONTENT,
        PART
    }

    static CrashFeature content(long fingerprint) {
        return new CrashFeature(Kind.CONTENT, fingerprint);
    }

    static CrashFeature part(long fingerprint) {
        return new CrashFeature(Kind.PART, fingerprint);
    }

    /** Returns the features of a request with a content and parts. */
    static Set<CrashFeature> all(long content, Set<Long> parts) {
        Set<CrashFeature> features = new HashSet<>();
        features.add(content(content));
        parts.forEach(part -> features.add(part(part)));
        return features;
    }

    boolean isContent() {
        return kind == Kind.CONTENT;
    }
}
