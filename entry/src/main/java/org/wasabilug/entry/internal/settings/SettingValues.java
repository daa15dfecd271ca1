package org.wasabilug.entry.internal.settings;

import com.google.common.base.Splitter;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checked values of settings. */
public final class SettingValues {
    private final Map<Setting, String> mValues;

    SettingValues(Map<Setting, String> values) {
        mValues = Map.copyOf(values);
    }

    /**
     * A text or name.
     *
     * @param setting the setting
     * @return its value; empty where none was given and there is no standard
     */
    public Optional<String> text(Setting setting) {
        return Optional.ofNullable(mValues.get(setting)).filter(value -> !value.isEmpty());
    }

    /**
     * A number.
     *
     * @param setting a setting of kind NUMBER
     * @return its value
     */
    public int number(Setting setting) {
        return Integer.parseInt(mValues.get(setting));
    }

    /**
     * A time span.
     *
     * @param setting a setting of kind NUMBER in milliseconds
     * @return its value
     */
    public Duration duration(Setting setting) {
        return Duration.ofMillis(number(setting));
    }

    /**
     * An address.
     *
     * @param setting a setting of kind ADDRESS
     * @return its value
     */
    public InetSocketAddress address(Setting setting) {
        return AddressParser.parse(mValues.get(setting)).orElseThrow();
    }

    /**
     * Several addresses.
     *
     * @param setting a setting of kind ADDRESSES
     * @return its values
     */
    public List<String> list(Setting setting) {
        return parts(mValues.getOrDefault(setting, ""));
    }

    static List<String> parts(String value) {
        return Splitter.on(',').trimResults().omitEmptyStrings().splitToList(value);
    }

    /**
     * An http or https address.
     *
     * @param setting a setting of kind URI
     * @return its value
     */
    public URI uri(Setting setting) {
        return URI.create(mValues.get(setting));
    }

    /**
     * A file.
     *
     * @param setting a setting of kind FILE
     * @return its path; empty where none was given
     */
    public Optional<Path> file(Setting setting) {
        return text(setting).map(Path::of);
    }

    /** Leaves the values out, as some are secret. */
    @Override
    public String toString() {
        return "values of " + mValues.size() + " settings";
    }
}
