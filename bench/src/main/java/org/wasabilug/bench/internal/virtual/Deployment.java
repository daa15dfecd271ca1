package org.wasabilug.bench.internal.virtual;

import java.util.Locale;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** A deployment whose shape is loaded. */
public enum Deployment {
    /** Refrigerant records: eight generators. */
    FRIGOVAL,
    /** District heating: thirteen generators. */
    SERRANO;

    /**
     * Instances, endpoints and configuration.
     *
     * @return the shape
     */
    public FleetShape shape() {
        return switch (this) {
            case FRIGOVAL -> FleetShape.frigoval();
            case SERRANO -> FleetShape.serrano();
        };
    }

    /**
     * Name in reports and on the command line.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
