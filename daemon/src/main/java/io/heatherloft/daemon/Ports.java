package io.heatherloft.daemon;

import io.heatherloft.peer.PeerNetwork;
import io.heatherloft.ports.backend.BackendClient;
import io.heatherloft.ports.backend.EngineClient;
import io.heatherloft.ports.hosts.HostList;
import io.heatherloft.ports.loop.Loop;
import io.heatherloft.ports.rating.RatingService;
import io.heatherloft.ports.store.KeyValueStore;
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
        EngineClient engines) {}
