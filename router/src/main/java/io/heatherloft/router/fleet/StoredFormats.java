package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.RoutingConfiguration;

/** The keys and values that operators, backend servers and hosts share through the store. */
public interface StoredFormats {
    /** Returns the prefix of what operators write. */
    String operatorPrefix();

    /** Returns the key of the newest configuration. */
    String configurationKey();

    /** Returns the prefix of the orders to roll a version out; the service's name follows. */
    String rolloutOrderPrefix();

    /** Returns the prefix of the states of roll-outs; the service's name follows. */
    String rolloutStatePrefix();

    /** Returns the prefix of the entries of backend servers; the server's identity follows. */
    String backendPrefix();

    /** Returns the prefix under which hosts record the progress of roll-outs; the service's name follows. */
    String rolloutProgressPrefix();

    /** Reads a configuration. */
    RoutingConfiguration readConfiguration(Bytes value) throws UnreadableValueException;

    /** Reads what a backend server says of itself. */
    BackendRegistration readBackend(String id, Bytes value) throws UnreadableValueException;

    /** Reads an order to roll a version out. */
    RolloutOrder readRolloutOrder(String service, Bytes value) throws UnreadableValueException;

    /** Reads the state of a roll-out. */
    RolloutState readRolloutState(String service, Bytes value) throws UnreadableValueException;

    /** Writes the state of a roll-out. */
    Bytes writeRolloutState(RolloutState state);
}
