package io.heatherloft.daemon;

import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.platform.backend.BackendClient;
import io.heatherloft.platform.backend.EngineOrders;
import io.heatherloft.platform.hosts.HostList;
import io.heatherloft.platform.loop.Loop;
import io.heatherloft.platform.rating.RatingService;
import io.heatherloft.platform.store.KeyValueStore;
import java.util.Random;

/**
 * Everything through which a host's decisions reach the world; tests give fakes. Confined to the loop's thread.
 */
public record Ports(
        Loop loop,
        Random random,
        KeyValueStore store,
        PeerNetwork peers,
        HostList hosts,
        BackendClient backends,
        RatingService ratings,
        EngineOrders orders) {}
