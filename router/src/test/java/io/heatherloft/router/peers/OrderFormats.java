package io.heatherloft.router.peers;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.router.fleet.StoredFormats;

/** Formats of a store that holds nothing but rollout orders, all of them with the same target and duration. */
final class OrderFormats implements StoredFormats {
    private final String target;
    private final long durationMillis;

    OrderFormats(String target, long durationMillis) {
        this.target = target;
        this.durationMillis = durationMillis;
    }

    @Override
    public String operatorPrefix() {
        return "op/";
    }

    @Override
    public String configurationKey() {
        return "op/configuration";
    }

    @Override
    public String rolloutOrderPrefix() {
        return "op/rollout/";
    }

    @Override
    public String rolloutStatePrefix() {
        return "state/";
    }

    @Override
    public String backendPrefix() {
        return "backend/";
    }

    @Override
    public String hostPrefix() {
        return "hosts/";
    }

    @Override
    public String crashRecordPrefix() {
        return "hosts/crashes/";
    }

    @Override
    public String rolloutProgressPrefix() {
        return "hosts/progress/";
    }

    @Override
    public RoutingConfiguration readConfiguration(Bytes _value) {
        throw new UnsupportedOperationException();
    }

    @Override
    public BackendRegistration readBackend(String _id, Bytes _value) {
        throw new UnsupportedOperationException();
    }

    @Override
    public RolloutOrder readRolloutOrder(String service, Bytes _value) {
        return new RolloutOrder(service, target, durationMillis);
    }

    @Override
    public RolloutState readRolloutState(String _service, Bytes _value) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Bytes writeRolloutState(RolloutState _state) {
        throw new UnsupportedOperationException();
    }
}
