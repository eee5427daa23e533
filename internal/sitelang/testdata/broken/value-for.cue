include: ["../base.cue"]
for z in ["a", "b"] {team: "\(z)": {}}
