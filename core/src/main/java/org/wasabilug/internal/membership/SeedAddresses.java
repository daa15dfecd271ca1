package org.wasabilug.internal.membership;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.InstanceName;

/**
 * Configured peer addresses, contacted in rotation while the platform's instance list is
 * unavailable.
 */
final class SeedAddresses {
    private static final int ADDRESSES_PER_ATTEMPT = 2;
    private static final String NAME_PREFIX = "seed-";

    private final List<String> mAddresses;
    private int mNext;

    SeedAddresses(List<String> addresses) {
        mAddresses = List.copyOf(addresses);
    }

    /** Returns the next addresses to contact. */
    List<String> next() {
        List<String> addresses = new ArrayList<>();
        for (int count = 0; count < Math.min(ADDRESSES_PER_ATTEMPT, mAddresses.size()); count++) {
            addresses.add(mAddresses.get(mNext));
            mNext = (mNext + 1) % mAddresses.size();
        }
        return addresses;
    }

    /** Returns the placeholder name of the instance at an address until it has sent a message. */
    static InstanceName nameOf(String address) {
        return new InstanceName(NAME_PREFIX + address.replaceAll("[^A-Za-z0-9._-]", "-"));
    }
}
