import type { Fleet } from "../tests/harness/fleet.ts";

/** A fault to inject: `begin` causes it, `end` removes it. */
export interface Scenario {
  name: string;
  begin: (fleet: Fleet) => Promise<void>;
  end: (fleet: Fleet) => Promise<void>;
}

const RESTARTED_ENTRY = "norte-entry-2";
const doNothing = () => Promise.resolve();

/** All faults; the first is the run without a fault, for comparison. */
export const SCENARIOS: Scenario[] = [
  { name: "none", begin: doNothing, end: doNothing },
  {
    name: "kill -9, restart",
    begin: async (fleet) => {
      fleet.signal(RESTARTED_ENTRY, "SIGKILL");
      await fleet.waitForExit(RESTARTED_ENTRY);
      fleet.startEntry(RESTARTED_ENTRY);
    },
    end: doNothing,
  },
  {
    name: "kill -9, VM gone",
    begin: async (fleet) => {
      fleet.signal("norte-entry-1", "SIGKILL");
      await fleet.setPlatformFaults({ removeVms: ["norte-entry-1"] });
    },
    end: doNothing,
  },
  {
    name: "freeze",
    begin: (fleet) =>
      Promise.resolve(fleet.signal("centro-entry-2", "SIGSTOP")),
    end: (fleet) => Promise.resolve(fleet.signal("centro-entry-2", "SIGCONT")),
  },
  {
    name: "two drains",
    begin: (fleet) => {
      fleet.signal("pacifico-entry-2", "SIGTERM");
      fleet.signal("pacifico-entry-3", "SIGTERM");
      return Promise.resolve();
    },
    end: doNothing,
  },
  {
    name: "platform down",
    begin: async (fleet) => {
      await fleet.setPlatformFaults({ storeDown: true, vmListDown: true });
    },
    end: async (fleet) => {
      await fleet.setPlatformFaults({ storeDown: false, vmListDown: false });
    },
  },
  {
    name: "platform slow, loses answers",
    begin: async (fleet) => {
      await fleet.setPlatformFaults({ loseAnswers: 20, slowMs: 400 });
    },
    end: async (fleet) => {
      await fleet.setPlatformFaults({ loseAnswers: 0, slowMs: 0 });
    },
  },
  {
    name: "domain cut from platform",
    begin: async (fleet) => {
      await fleet.setPlatformFaults({ cutSources: [`${fleet.network}.1.`] });
    },
    end: async (fleet) => {
      await fleet.setPlatformFaults({ cutSources: [] });
    },
  },
  {
    name: "domain cut from domains",
    begin: async (fleet) => {
      const { network } = fleet;
      const cuts: [string, string][] = [
        [`${network}.1.`, `${network}.2.`],
        [`${network}.1.`, `${network}.3.`],
      ];
      await fleet.setRelayFaults({ cuts });
    },
    end: (fleet) => fleet.setRelayFaults({ cuts: [] }),
  },
  {
    name: "entry cut from endpoints",
    begin: (fleet) => setEndpointCut(fleet, [`${fleet.network}.1.3`]),
    end: (fleet) => setEndpointCut(fleet, []),
  },
];

/** Cuts the endpoints of `norte` off from the addresses with these prefixes. */
async function setEndpointCut(
  fleet: Fleet,
  cutSources: string[],
): Promise<void> {
  const endpoints = Array.from(
    { length: 10 },
    (_, index) => `norte-worker-${String(index + 1).padStart(2, "0")}`,
  );
  await fleet.setEndpointFaults("norte", { endpoints, cutSources });
}

/** Combines two faults into one scenario that injects both at once. */
export function combineScenarios(a: Scenario, b: Scenario): Scenario {
  return {
    name: `${a.name} + ${b.name}`,
    begin: async (fleet) => {
      await Promise.all([a.begin(fleet), b.begin(fleet)]);
    },
    end: async (fleet) => {
      await Promise.all([a.end(fleet), b.end(fleet)]);
    },
  };
}
