#!/usr/bin/env node
import { main } from '../dist/server/main.js';

await main(process.argv);
