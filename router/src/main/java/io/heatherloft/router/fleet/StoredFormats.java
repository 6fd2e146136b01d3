package io.heatherloft.router.fleet;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.RoutingConfiguration;

/** Keys and value formats of the data that operators, backend servers and hosts share through the store. */
public interface StoredFormats {
    /** Returns the prefix of the keys that operators write: the configuration, the rollout orders and the evacuations. */
    String operatorPrefix();

    /** Returns the key of the configuration. */
    String configurationKey();

    /** Returns the key prefix of orders to evacuate an availability zone; the name of the zone follows. */
    String evacuationPrefix();

    /** Returns the key prefix of rollout orders; the service name follows. */
    String rolloutOrderPrefix();

    /** Returns the key prefix of rollout states; the service name follows. */
    String rolloutStatePrefix();

    /** Returns the key prefix of the backend servers' entries; the server ID follows. */
    String backendPrefix();

    /** Returns the prefix of the keys that hosts write for themselves. */
    String hostPrefix();

    /** Returns the key prefix of records of crashes on prompt parts; the record's name follows. */
    String crashRecordPrefix();

    /** Returns the key prefix of rollout progress, which hosts record; the service name follows. */
    String rolloutProgressPrefix();

    /** Parses a configuration. */
    RoutingConfiguration readConfiguration(Bytes value) throws UnreadableValueException;

    /** Parses the entry of a backend server. */
    BackendRegistration readBackend(String id, Bytes value) throws UnreadableValueException;

    /** Checks the value of an order to evacuate a zone, which holds no data. */
    void checkEvacuation(Bytes value) throws UnreadableValueException;

    /** Parses a rollout order. */
    RolloutOrder readRolloutOrder(String service, Bytes value) throws UnreadableValueException;

    /** Parses the state of a rollout. */
    RolloutState readRolloutState(String service, Bytes value) throws UnreadableValueException;

    /** Serializes the state of a rollout. */
    Bytes writeRolloutState(RolloutState state);
}
