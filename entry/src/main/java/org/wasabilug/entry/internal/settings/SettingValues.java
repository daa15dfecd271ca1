package org.wasabilug.entry.internal.settings;

import com.google.common.base.Splitter;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Validated values of the settings. */
public final class SettingValues {
    private final Map<Setting, String> mValues;

    SettingValues(Map<Setting, String> values) {
        mValues = Map.copyOf(values);
    }

    /**
     * Returns a text or name.
     *
     * @param setting setting to look up
     * @return the value; empty if none was given and there is no default
     */
    public Optional<String> text(Setting setting) {
        return Optional.ofNullable(mValues.get(setting)).filter(value -> !value.isEmpty());
    }

    /**
     * Returns a number.
     *
     * @param setting setting of kind NUMBER
     * @return the value
     */
    public int number(Setting setting) {
        return Integer.parseInt(mValues.get(setting));
    }

    /**
     * Returns a duration.
     *
     * @param setting setting of kind NUMBER, in milliseconds
     * @return the value
     */
    public Duration duration(Setting setting) {
        return Duration.ofMillis(number(setting));
    }

    /**
     * Returns an address.
     *
     * @param setting setting of kind ADDRESS
     * @return the value
     */
    public InetSocketAddress address(Setting setting) {
        return AddressParser.parse(mValues.get(setting)).orElseThrow();
    }

    /**
     * Returns a list of addresses.
     *
     * @param setting setting of kind ADDRESSES
     * @return the values; empty if none were given
     */
    public List<String> list(Setting setting) {
        return parts(mValues.getOrDefault(setting, ""));
    }

    static List<String> parts(String value) {
        return Splitter.on(',').trimResults().omitEmptyStrings().splitToList(value);
    }

    /**
     * Returns an http or https address.
     *
     * @param setting setting of kind URI
     * @return the value
     */
    public URI uri(Setting setting) {
        return URI.create(mValues.get(setting));
    }

    /**
     * Returns the path of a file.
     *
     * @param setting setting of kind FILE
     * @return the path; empty if none was given
     */
    public Optional<Path> file(Setting setting) {
        return text(setting).map(Path::of);
    }

    /** Omits the values, because some are secret. */
    @Override
    public String toString() {
        return "values of " + mValues.size() + " settings";
    }
}
