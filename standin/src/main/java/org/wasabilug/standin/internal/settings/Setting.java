package org.wasabilug.standin.internal.settings;

import java.util.Locale;

/** Settings of the daemon; each can be set by a flag or an environment variable. */
enum Setting {
    HOST("host", "IP number to listen on", "127.0.0.1"),
    PLATFORM_PORT("platform-port", "port of the platform; 0 lets the system choose", "0"),
    ENDPOINTS("endpoints", "endpoints of each failure domain, as in rennes=4,brest=4", ""),
    FIRST_ENDPOINT_PORT(
            "first-endpoint-port",
            "port of the first endpoint, the others follow; 0 lets the system choose",
            "0"),
    PROTOCOL("protocol", "shape of the answers, streamed or whole", "streamed"),
    WORDS("words", "words of each answer", "16"),
    COLD_LIMIT("cold-limit", "calls in flight that a cold start bears", "1"),
    CONCURRENCY("concurrency", "calls in flight that are served at full speed", "16"),
    COLD_START_MILLISECONDS("cold-start-milliseconds", "length of a cold start", "5000"),
    FIRST_TOKEN_MILLISECONDS("first-token-milliseconds", "time to the first chunk", "20"),
    TOKEN_MILLISECONDS("token-milliseconds", "time between chunks", "5"),
    STARTS_COLD("starts-cold", "whether endpoints start cold, true or false", "false"),
    FALLS_OVER("falls-over", "whether load over the cold limit crashes, true or false", "false");

    private static final String VARIABLE_PREFIX = "WASABILUG_STANDIN_";

    private final String mFlag;
    private final String mDescription;
    private final String mDefaultText;

    Setting(String flag, String description, String defaultText) {
        mFlag = flag;
        mDescription = description;
        mDefaultText = defaultText;
    }

    String flag() {
        return mFlag;
    }

    String variable() {
        return VARIABLE_PREFIX + mFlag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    String defaultText() {
        return mDefaultText;
    }

    String help() {
        String shown = mDefaultText.isEmpty() ? "none" : mDefaultText;
        return mDescription + " (variable " + variable() + ", default " + shown + ")";
    }
}
