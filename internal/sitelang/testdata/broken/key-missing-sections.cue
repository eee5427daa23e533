proxy: {name: "n0", listen: "127.0.0.1:1", seed: "1", tier: 1}
