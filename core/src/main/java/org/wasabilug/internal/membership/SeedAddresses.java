package org.wasabilug.internal.membership;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.InstanceName;

/** Addresses from the settings, tried in turn while the platform's list is not there. */
final class SeedAddresses {
    private static final int ADDRESSES_PER_ATTEMPT = 2;
    private static final String NAME_PREFIX = "seed-";

    private final List<String> mAddresses;
    private int mNext;

    SeedAddresses(List<String> addresses) {
        mAddresses = List.copyOf(addresses);
    }

    /** The next addresses to try. */
    List<String> next() {
        List<String> chosen = new ArrayList<>();
        for (int tried = 0; tried < Math.min(ADDRESSES_PER_ATTEMPT, mAddresses.size()); tried++) {
            chosen.add(mAddresses.get(mNext));
            mNext = (mNext + 1) % mAddresses.size();
        }
        return chosen;
    }

    /** Name that stands for the instance at an address until it has spoken. */
    static InstanceName nameOf(String address) {
        return new InstanceName(NAME_PREFIX + address.replaceAll("[^A-Za-z0-9._-]", "-"));
    }
}
