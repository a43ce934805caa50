package main

// The deployments have the settings of the first ones on the users' page. Their machines boot within a second or two, as
// PROTOCOL allows.

// podpisna has the settings of podpisna-brno.
func podpisna(teams ...team) deployment {
	return deployment{site: "podpisna-brno", zones: []string{"brno-a", "ostrava-b"}, teams: teams, reportS: 3, leaseS: 19, cancelS: 39,
		rps: 100, writeRPS: 40, valueKB: 32, cloudRPS: 2, lagS: 3, cores: 0.24, ramMB: 179, sockets: 1800, free: 32, bootS: 1.5,
		types: []machineType{{Label: "sealbox-16", CPUs: 16, RAMGB: 32, CacheGB: 50, FetchGBPerS: 1, Rate: 0.68, SpotPrice: 0.19, BootS: 35, Fields: []string{"brno-a", "ostrava-b"}}}}
}

// rentanorte has the settings of rentanorte-bilbao, with the guest team that comes on some days.
func rentanorte() deployment {
	zones := []string{"santander-1", "bilbao-1", "bilbao-2", "pamplona-1"}
	return deployment{site: "rentanorte-bilbao", zones: zones, reportS: 1, leaseS: 10, cancelS: 40,
		teams: []team{{"calculo", 408, 1016}, {"ingesta", 304, 1224}, {"presentacion", 408, 1624}, {"clientes", 160, 512}, {"gestoria-ebro", 0, 0}},
		rps:   150, writeRPS: 60, valueKB: 16, cloudRPS: 5, lagS: 10, cores: 0.24, ramMB: 98, sockets: 800, free: 48, bootS: 1.5,
		types: []machineType{{Label: "txori-32", CPUs: 32, RAMGB: 64, CacheGB: 50, FetchGBPerS: 1, Rate: 1.52, SpotPrice: 0.44, BootS: 15, Fields: zones},
			{Label: "arrano-64", CPUs: 64, RAMGB: 256, CacheGB: 50, FetchGBPerS: 1, Rate: 3.42, SpotPrice: 0.94, BootS: 50, Fields: zones}}}
}
