package org.wasabilug.standin.internal.settings;

import java.util.Locale;

/** Settings of the daemon; each can be set by a flag or an environment variable. */
enum Setting {
    HOST("host", "IP address to listen on", "127.0.0.1"),
    PLATFORM_PORT("platform-port", "port of the platform; 0 for a free port", "0"),
    ENDPOINTS(
            "endpoints", "number of endpoints in each failure domain, as in rennes=4,brest=4", ""),
    FIRST_ENDPOINT_PORT(
            "first-endpoint-port",
            "port of the first endpoint, the others use the next ports; 0 for free ports",
            "0"),
    PROTOCOL("protocol", "protocol of the answers, streamed or whole", "streamed"),
    WORDS("words", "number of words of each answer", "16"),
    COLD_LIMIT("cold-limit", "maximum calls in flight that a cold endpoint can handle", "1"),
    CONCURRENCY("concurrency", "calls in flight that a warm endpoint serves at full speed", "16"),
    COLD_START_MILLISECONDS("cold-start-milliseconds", "duration of a cold start", "5000"),
    FIRST_TOKEN_MILLISECONDS("first-token-milliseconds", "delay before the first chunk", "20"),
    TOKEN_MILLISECONDS("token-milliseconds", "delay between chunks", "5"),
    STARTS_COLD("starts-cold", "whether endpoints start cold, true or false", "false"),
    FALLS_OVER(
            "falls-over",
            "whether exceeding the cold limit crashes an endpoint, true or false",
            "false");

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
